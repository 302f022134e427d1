package cmd_test

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/foxtailspool/foxtailspool/logger"
	// The server does not import orderer yet, so its events are linked here.
	_ "github.com/foxtailspool/foxtailspool/orderer"
)

const eventsPage = "../docs/EVENTS.md"

// TestEventsPage fails if docs/EVENTS.md does not match the events in the code. With
// the flag -rewrite it first regenerates the page.
func TestEventsPage(t *testing.T) {
	want := renderEvents(logger.Catalogue())
	if rewrite := flag.Lookup("rewrite"); rewrite != nil && rewrite.Value.String() == "true" {
		if err := os.WriteFile(eventsPage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/EVENTS.md differs from the code; run go test ./cmd -rewrite")
	}
}

// TestCatalogueListsAllEvents fails if the source defines an event in a package that
// this test binary does not link, which would leave it out of docs/EVENTS.md.
func TestCatalogueListsAllEvents(t *testing.T) {
	var linked []int
	for _, event := range logger.Catalogue() {
		linked = append(linked, event.Number)
	}
	if source := findEventNumbers(t); !slices.Equal(linked, source) {
		t.Errorf("linked %v, in the source %v", linked, source)
	}
}

var defineCall = regexp.MustCompile(`logger\.Define\((\d+),`)

func findEventNumbers(t *testing.T) []int {
	t.Helper()
	var numbers []int
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != "..":
			return fs.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		source, err := os.ReadFile(path)
		for _, match := range defineCall.FindAllSubmatch(source, -1) {
			number, _ := strconv.Atoi(string(match[1]))
			numbers = append(numbers, number)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(numbers)
	return numbers
}

func renderEvents(events []logger.Event) string {
	var text strings.Builder
	text.WriteString("# Events\n\n" +
		"Every event that a node logs, generated from the code. A node writes JSON lines\n" +
		"to standard error, under `run` to standard output; the field `event` holds the number, which never changes its\n" +
		"meaning. `log.level` sets the least severe level that is written.\n\n" +
		"| event | level | message | meaning |\n| --- | --- | --- | --- |\n")
	for _, event := range events {
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", event.Number, event.Level, event.Message, event.Meaning)
	}
	return text.String()
}
