package main

import (
	"strconv"
	"strings"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/version/api"
)

// parseKind reads a kind in any case, in the singular or plural.
func parseKind(text string) (api.Kind, error) {
	var names []string
	for _, kind := range api.Kinds {
		lower := strings.ToLower(string(kind))
		if strings.EqualFold(text, lower) || strings.EqualFold(text, plural(lower)) {
			return kind, nil
		}
		names = append(names, string(kind))
	}
	return "", cli.UsageError{Field: "kind", Message: "must be one of " + strings.Join(names, ", ") + ", got " + strconv.Quote(text)}
}

func plural(name string) string {
	if strings.HasSuffix(name, "s") {
		return name + "es"
	}
	return name + "s"
}

// parseKey reads "KIND/NAME".
func parseKey(field, text string) (api.Key, error) {
	kindText, name, found := strings.Cut(text, "/")
	if !found {
		return api.Key{}, cli.UsageError{Field: field, Message: "must be KIND/NAME, got " + strconv.Quote(text)}
	}
	kind, err := parseKind(kindText)
	if err != nil {
		return api.Key{}, err
	}
	return checkedKey(kind, name)
}

// checkedKey returns the key of a valid name.
func checkedKey(kind api.Kind, name string) (api.Key, error) {
	key := api.Key{Kind: kind, Name: name}
	if faults := api.ValidateKey(key); len(faults) > 0 {
		return api.Key{}, cli.UsageError{Field: "name", Message: faults[0].Message}
	}
	return key, nil
}
