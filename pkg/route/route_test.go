package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func testRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Shares: []Share{{Service: "s", Weight: 1}}}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := Compile(Config{Routes: []Route{
		testRoute("short", "a.example", "/x/"), testRoute("long", "a.example", "/x/y/"),
		testRoute("root", "b.example", "/"), testRoute("other", "b.example", "/x/"),
	}})
	require.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/", "short"},
		{"a.example", "/x/z/w", "short"},
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"a.example", "", ""},
		{"b.example", "/q", "root"},
		{"b.example", "/x/1", "other"},
		{"c.example", "/x/", ""},
	} {
		got := table.Match(c.host, c.path)
		if c.want == "" {
			assert.Nil(t, got, "%+v", c)
			continue
		}
		require.NotNil(t, got, "%+v", c)
		assert.Equal(t, c.want, got.Name, "%+v", c)
	}
}

func TestCompileNamesWhatIsWrong(t *testing.T) {
	for name, r := range map[string]Route{
		"no host":         testRoute("r", "", "/x/"),
		"no slash before": testRoute("r", "h", "x/"),
		"no slash after":  testRoute("r", "h", "/x"),
		"no service":      {Name: "r", Host: "h", Prefix: "/x/"},
		"negative weight": {Name: "r", Host: "h", Prefix: "/x/", Shares: []Share{{"s", -1}}},
	} {
		_, err := Compile(Config{Routes: []Route{r}})
		assert.ErrorIs(t, err, ErrInvalid, name)
		assert.ErrorContains(t, err, `"r"`, name)
	}
}

func TestServiceFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Service(float64(i)/1000)]++
	}
	assert.Equal(t, map[string]int{"a": 900, "c": 100}, count)
}

func TestRunsOnce(t *testing.T) {
	assert.True(t, (&Route{Kind: Once}).RunsOnce())
	assert.True(t, (&Route{Kind: Stream}).RunsOnce())
	assert.False(t, (&Route{Kind: Stream, Resumable: true}).RunsOnce())
	assert.False(t, (&Route{Kind: Repeatable}).RunsOnce())
}

func TestOrganisations(t *testing.T) {
	table, err := Compile(Config{Organisations: []Organisation{{Name: "a", Keys: []string{"k1", "k2"}}}})
	require.NoError(t, err)
	assert.True(t, table.Keyed())
	assert.Equal(t, "a", table.Organisation("k2").Name)
	assert.Nil(t, table.Organisation(""))
}

// Guards against a request without a key that is served since a list of keys holds an empty text.
func TestEmptyKeyIsNobodys(t *testing.T) {
	table, err := Compile(Config{Organisations: []Organisation{{Name: "a", Keys: []string{"", "k1"}}}})
	require.NoError(t, err)
	assert.Nil(t, table.Organisation(""))
	assert.NotNil(t, table.Organisation("k1"))
}

// Guards against a configuration whose last organisation was removed and that another router takes
// for one that never had any.
func TestKeyRuleIsStatedOnceCompiled(t *testing.T) {
	one := []Organisation{{Name: "a"}}
	for name, test := range map[string]struct {
		config Config
		known  bool
		want   KeyRule
	}{
		"unstated":               {Config{}, false, KeysNotRequired},
		"organisation without":   {Config{Organisations: one}, true, KeysRequired},
		"required, none left":    {Config{Keys: KeysRequired}, true, KeysRequired},
		"not required":           {Config{Keys: KeysNotRequired}, true, KeysNotRequired},
		"not required, with one": {Config{Keys: KeysNotRequired, Organisations: one}, true, KeysRequired},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.known, test.config.IsKeyRuleKnown())
			table, err := Compile(test.config)
			require.NoError(t, err)
			assert.Equal(t, test.want, table.Config().Keys)
			assert.Equal(t, test.want == KeysRequired, table.Keyed())
			compiled := table.Config()
			assert.True(t, compiled.IsKeyRuleKnown())
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	var c Config
	for i := range 1000 {
		c.Routes = append(c.Routes, testRoute("r", "h", fmt.Sprintf("/p%d/q/", i)))
	}
	table, err := Compile(c)
	require.NoError(b, err)
	for b.Loop() {
		table.Match("h", "/p500/q/r/s")
	}
}
