package docs

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
)

var update = flag.Bool("update", false, "write the generated documentation")

const (
	operatorsFile = "../../docs/operators.md"
	chartsFile    = "../../docs/design-charts.md"
	settingsFile  = "../settings/settings.go"
	edgeFile      = "../settings/edge.go"
)

// generateFiles returns the expected content of each generated file by its path.
func generateFiles(t *testing.T) map[string]string {
	t.Helper()
	document, err := os.ReadFile(operatorsFile)
	if err != nil {
		t.Fatal(err)
	}
	table, err := SettingsTable(settingsFile, settings.Fields())
	if err != nil {
		t.Fatal(err)
	}
	edgeTable, err := SettingsTable(edgeFile, edgeFields())
	if err != nil {
		t.Fatal(err)
	}
	operators := string(document)
	for _, part := range []struct{ name, text string }{{"settings", table}, {"edge settings", edgeTable}, {"reasons", reason.MarkdownTable()}} {
		if operators, err = ReplaceSection(operators, part.name, part.text); err != nil {
			t.Fatal(err)
		}
	}
	charts, err := Charts()
	if err != nil {
		t.Fatal(err)
	}
	return map[string]string{operatorsFile: operators, chartsFile: charts}
}

// Guards against generated documentation that does not match the code.
func TestGeneratedDocumentation(t *testing.T) {
	for file, want := range generateFiles(t) {
		if *update {
			if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%s is out of date; run .ci/generate", file)
		}
	}
}

// Guards against settings without a doc comment that starts with the name of the field.
func TestEverySettingIsDocumented(t *testing.T) {
	for file, fields := range map[string][]settings.Field{settingsFile: settings.Fields(), edgeFile: edgeFields()} {
		comments, err := fieldComments(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, field := range fields {
			if comment := comments[field.Section+"."+field.Name]; !strings.HasPrefix(comment, field.Name+" ") {
				t.Errorf("%s: doc comment %q does not start with %q", field.Key, comment, field.Name)
			}
		}
	}
}

// edgeFields returns the settings of edge instances without those of the instance section, which the table of settings
// already lists.
func edgeFields() []settings.Field {
	return slices.DeleteFunc(settings.EdgeFields(), func(f settings.Field) bool {
		return strings.HasPrefix(f.Key, "instance.")
	})
}

// Guards against a document that loses text around the generated section, and against missing markers that go unnoticed.
func TestReplaceSection(t *testing.T) {
	const document = "a\n<!-- generated: x -->\nold\n<!-- end: x -->\nb\n"
	got, err := ReplaceSection(document, "x", "new\n")
	if want := "a\n<!-- generated: x -->\n\nnew\n\n<!-- end: x -->\nb\n"; err != nil || got != want {
		t.Fatalf("got %q, %v", got, err)
	}
	if again, err := ReplaceSection(got, "x", "new\n"); err != nil || again != got {
		t.Fatalf("not stable: %q, %v", again, err)
	}
	if _, err := ReplaceSection(document, "y", ""); err == nil {
		t.Fatal("missing markers were accepted")
	}
}
