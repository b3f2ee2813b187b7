package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

// logReader takes logs in.
type logReader interface {
	Read(log io.Reader, source string) error
}

// readLogs reads the files, or standard input without any.
func readLogs(into logReader, paths []string) error {
	if len(paths) == 0 {
		return into.Read(os.Stdin, "-")
	}
	for _, path := range paths {
		if err := readLog(into, path); err != nil {
			return err
		}
	}
	return nil
}

func readLog(into logReader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return cli.UsageError{Field: "file", Message: err.Error()}
	}
	defer func() { _ = file.Close() }()
	return into.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}
