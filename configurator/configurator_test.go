package configurator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/configurator"
)

// TestParse runs the cases of testdata/parse. For invalid settings, each command
// prints the faults. For valid settings, "parse" prints "accepted"; "show" and
// "show-requests" print some of the values.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		settings, faults := configurator.Parse([]byte(d.Input))
		if len(faults) > 0 {
			return faults.Error()
		}
		if d.Cmd == "show-requests" {
			return fmt.Sprintf("max-in-flight %d per-account %d", settings.Requests.MaxInFlight, settings.Requests.MaxInFlightPerAccount)
		}
		if d.Cmd == "show" {
			return fmt.Sprintf("callers %s peers %s operators %s body %s seeds %v",
				settings.Callers.Advertise, settings.Peers.Advertise, settings.Operators.Listen,
				settings.Callers.MaxBodySize, settings.Membership.Seeds)
		}
		return "accepted"
	})
}

// TestSettingsPage checks that docs/SETTINGS.md matches the declared keys.
func TestSettingsPage(t *testing.T) {
	const path = "../docs/SETTINGS.md"
	want := settingsPage()
	if rewrite := rewriteRequested(); rewrite {
		if err := os.WriteFile(path, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/SETTINGS.md differs from the declared keys; run go test ./configurator -rewrite")
	}
}

func settingsPage() string {
	var text strings.Builder
	text.WriteString("# Settings\n\n" +
		"Every key of a node's settings file, generated from package configurator.\n" +
		"Durations and sizes are strings with their unit; unknown keys are refused.\n" +
		"`foxtailspool check FILE` names the line and key of each fault.\n")
	section := ""
	for _, key := range configurator.Keys(&configurator.Settings{}) {
		keySection, name, _ := strings.Cut(key.Name, ".")
		if keySection != section {
			section = keySection
			fmt.Fprintf(&text, "\n## [%s]\n\n| key | type | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", section)
		}
		defaultValue := "`" + key.Default + "`"
		if key.Required {
			defaultValue = "required"
		} else if key.Default == "" {
			defaultValue = "empty"
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", name, key.Type, defaultValue, key.Range, key.Meaning)
	}
	return text.String()
}
