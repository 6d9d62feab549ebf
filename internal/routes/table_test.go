package routes

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

func config() *Config {
	return &Config{
		Version:  7,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "desk.example", PathPrefix: "/x/", Split: []Share{{"a", 1}}},
			{Name: "long", Host: "desk.example", PathPrefix: "/x/y/", Split: []Share{{"a", 90}, {"b", 10}}},
			{Name: "other", Host: "other.example", PathPrefix: "/", Split: []Share{{"b", 3}, {"a", 5}}},
		},
	}
}

// Guards against requests that match a route with a shorter prefix or of another host, or no route.
func TestMatch(t *testing.T) {
	table, err := Build(config(), nil, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"desk.example", "/x/1", "short"}, {"desk.example", "/x/y/1", "long"}, {"DESK.example:8080", "/x/y/", "long"},
		{"desk.example", "/x", ""}, {"desk.example", "/xy/", ""}, {"desk.example", "/", ""},
		{"other.example", "/x/y/z", "other"}, {"third.example", "/x/", ""}, {"", "/x/", ""},
	}
	for _, c := range cases {
		got := ""
		if entry := table.Match(c.host, c.path); entry != nil {
			got = entry.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a split that deviates from its weights. The platform tolerates a deviation of 0.1 over 300 requests.
func TestSplitFollowsWeights(t *testing.T) {
	for _, weights := range [][]int{{90, 10}, {50, 50}, {3, 5}, {1, 1, 1}, {99, 1}, {700, 200, 100}, {0, 4}} {
		c := &Config{Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/"}}}
		total := 0
		names := []string{"s0", "s1", "s2"}
		for i, weight := range weights {
			c.Services = append(c.Services, Service{Name: names[i]})
			c.Routes[0].Split = append(c.Routes[0].Split, Share{names[i], weight})
			total += weight
		}
		table, err := Build(c, nil, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		const requests = 300
		for range requests {
			counts[table.Match("h", "/").NextService()]++
		}
		for i, weight := range weights {
			want := float64(weight) / float64(total)
			if got := float64(counts[names[i]]) / requests; math.Abs(got-want) > 0.1 {
				t.Errorf("weights %v: service %d has a share of %.3f, want %.3f", weights, i, got, want)
			}
		}
	}
}

// Guards against accepting a configuration that sends requests to no service, or to one that does not exist.
func TestBuildRejectsInvalidConfig(t *testing.T) {
	cases := map[string]func(*Config){
		"unknown service":               func(c *Config) { c.Routes[0].Split[0].Service = "z" },
		"no split":                      func(c *Config) { c.Routes[0].Split = nil },
		"zero total weight":             func(c *Config) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":               func(c *Config) { c.Routes[1].Split[1].Weight = -1 },
		"prefix without trailing slash": func(c *Config) { c.Routes[0].PathPrefix = "/x" },
		"prefix without leading slash":  func(c *Config) { c.Routes[0].PathPrefix = "x/" },
	}
	for name, modify := range cases {
		c := config()
		modify(c)
		var invalid *ConfigError
		if _, err := Build(c, nil, rand.New(rand.NewPCG(1, 1))); !errors.As(err, &invalid) || invalid.Version != 7 || invalid.Route == "" {
			t.Errorf("%s: got error %v, want a ConfigError with version and route", name, err)
		}
	}
}
