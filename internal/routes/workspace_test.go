package routes

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// Guards against a key that opens two workspaces, so that it depends on the order of the configuration whose quota its requests use.
func TestSharedKeysAreRejected(t *testing.T) {
	key := func(text string) KeyHash { return HashKey([]byte(text)) }
	build := func(workspaces ...Workspace) (*Table, error) {
		return Build(&Config{Version: 3, Workspaces: workspaces}, nil, rand.New(rand.NewPCG(1, 1)))
	}
	for name, workspaces := range map[string][]Workspace{
		"shared key":  {{Name: "v", Keys: []KeyHash{key("a"), key("b")}}, {Name: "w", Keys: []KeyHash{key("b")}}},
		"same name":   {{Name: "v", Keys: []KeyHash{key("a")}}, {Name: "v", Keys: []KeyHash{key("b")}}},
		"no name":     {{Keys: []KeyHash{key("a")}}},
		"wrong rate":  {{Name: "v", Rate: -1}},
		"wrong burst": {{Name: "v", Burst: -1}},
	} {
		var invalid *ConfigError
		if _, err := build(workspaces...); !errors.As(err, &invalid) {
			t.Errorf("%s: %v, want a *ConfigError", name, err)
		}
	}
	table, err := build(Workspace{Name: "v", Keys: []KeyHash{key("a"), key("a")}}, Workspace{Name: "w", Keys: []KeyHash{key("b")}})
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{"a": "v", "b": "w", "c": ""} {
		got := ""
		if w := table.Workspace(key(text)); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %q: workspace %q, want %q", text, got, want)
		}
	}
	if !table.RequiresKeys() {
		t.Error("a configuration with workspaces requires no keys")
	}
}
