// Package clitest checks for the tests of both programs that the command lines
// which pages and help texts show can be given: that the commands and flags
// exist and that the flags take the values.
package clitest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

const (
	fence         = "```"
	programFolder = "bin/"
	helpIndent    = "  "
)

// pagePatterns name the pages with command lines, seen from a program's folder.
var pagePatterns = []string{"../../README.md", "../../docs/*.md"}

// Check parses every command line of the program in the fenced blocks of
// README.md and docs, and in the help of its commands.
func Check(t *testing.T, program string, newRoot func() *ffcli.Command) {
	t.Run("pages", func(t *testing.T) { checkPages(t, program, newRoot) })
	t.Run("help", func(t *testing.T) { checkHelp(t, program, newRoot) })
}

func checkPages(t *testing.T, program string, newRoot func() *ffcli.Command) {
	for _, pattern := range pagePatterns {
		paths, err := filepath.Glob(pattern)
		must.NoError(t, err)
		shown := 0
		for _, path := range paths {
			text, err := os.ReadFile(path)
			must.NoError(t, err)
			lines := commandLines(program, fencedBlocks(string(text)))
			check(t, path, newRoot, lines)
			shown += len(lines)
		}
		must.Positive(t, shown, must.Sprintf("%s shows no command line", pattern))
	}
}

func checkHelp(t *testing.T, program string, newRoot func() *ffcli.Command) {
	for _, command := range newRoot().Subcommands {
		lines := commandLines(program, command.LongHelp)
		must.SliceNotEmpty(t, lines, must.Sprintf("help of %s shows no command line", command.Name))
		check(t, command.Name+" --help", newRoot, lines)
	}
}

func check(t *testing.T, where string, newRoot func() *ffcli.Command, lines [][]string) {
	t.Helper()
	for _, args := range lines {
		root := newRoot()
		command, err := cli.Parse(root, args)
		must.NoError(t, err, must.Sprintf("%s: %s", where, strings.Join(args, " ")))
		must.NotEq(t, root.Name, command.Name, must.Sprintf("%s: no command in: %s", where, strings.Join(args, " ")))
	}
}

// fencedBlocks returns the lines of a page that stand in fenced blocks.
func fencedBlocks(page string) string {
	var kept []string
	inside := false
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), fence) {
			inside = !inside
			continue
		}
		if inside {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// commandLines returns the arguments of the program in each line that calls it.
func commandLines(program, text string) [][]string {
	var lines [][]string
	for _, line := range strings.Split(strings.ReplaceAll(text, "\\\n", " "), "\n") {
		words := splitWords(strings.TrimPrefix(line, helpIndent))
		if len(words) > 0 && strings.TrimPrefix(words[0], programFolder) == program {
			lines = append(lines, words[1:])
		}
	}
	return lines
}

// splitWords returns the words of a shell line up to its first operator or
// comment, without quotes.
func splitWords(line string) []string {
	var words []string
	for _, word := range strings.Fields(line) {
		if strings.ContainsAny(word[:1], "#|&;<>") {
			break
		}
		ended := strings.HasSuffix(word, ";")
		words = append(words, strings.Trim(word, `"';`))
		if ended {
			break
		}
	}
	return words
}
