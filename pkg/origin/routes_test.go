package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/route"
)

// streamRoute is a route of host h whose shares are pairs of a service and a weight.
func streamRoute(prefix string, shares ...route.Share) route.Route {
	return route.Route{Host: "H", Prefix: prefix, Kind: route.Stream, Resumable: true, Shares: shares}
}

func share(service string, weight int) route.Share {
	return route.Share{Service: service, Weight: weight}
}

func TestDescribedRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		routes []route.Route
		texts  []string
	}{
		"none":               {nil, nil},
		"one":                {[]route.Route{streamRoute("/a/", share("s", 7))}, []string{"h %2Fa%2F s 1"}},
		"two, sorted":        {[]route.Route{streamRoute("/b/", share("s", 1)), streamRoute("/a/", share("s", 1))}, []string{"h %2Fa%2F s 1", "h %2Fb%2F s 1"}},
		"shares":             {[]route.Route{streamRoute("/a/", share("s", 60), share("none", 0), share("o", 20))}, []string{"h %2Fa%2F s 3 o 1"}},
		"no weights":         {[]route.Route{streamRoute("/a/", share("s", 0), share("o", 0))}, []string{"h %2Fa%2F o 1"}},
		"a name with spaces": {[]route.Route{streamRoute("/a/", share("s 1", 1))}, []string{"h %2Fa%2F s+1 1"}},
		"not of streams":     {[]route.Route{{Host: "h", Prefix: "/a/", Kind: route.Repeatable, Shares: []route.Share{share("s", 1)}}}, nil},
		"of other streams":   {[]route.Route{{Host: "h", Prefix: "/a/", Kind: route.Stream, Shares: []route.Share{share("s", 1)}}}, []string{"h %2Fa%2F s 1"}},
	} {
		t.Run(name, func(t *testing.T) {
			texts := DescribeRoutes(test.routes)
			assert.Equal(t, test.texts, texts)
			for _, text := range texts {
				d, valid := parseRoute(text)
				assert.True(t, valid)
				assert.Equal(t, text, d.String())
			}
		})
	}
}

func TestMalformedRoutesAreIgnored(t *testing.T) {
	for _, text := range []string{"", "h", "h /a/", "h /a/ s", "h /a/ s x", "h /a/ s 0", "h /a/ s -1", "h %zz s 1", "h /a/ s 1 o", "v1"} {
		_, valid := parseRoute(text)
		assert.False(t, valid, "%q", text)
	}
	for _, text := range []string{"", Routes, "/routes h", "/routes h /a/ x s", "/routes h %zz 0.5 s", "/routes h /a/ 0.5 s more", "s"} {
		_, err := parseRouteQuery(text)
		assert.Error(t, err, "%q", text)
	}
}

func TestRouteQueryIsRead(t *testing.T) {
	for _, q := range []RouteQuery{{"h", "/a/b", 0.25, "s"}, {"h", "/a b%20/c", 1.0 / 3, "s 1"}} {
		read, err := parseRouteQuery(q.String())
		assert.NoError(t, err)
		assert.Equal(t, q, read)
	}
}

// Guards against streams of a route that are taken for those of another service, and against routes that
// stay and count as led elsewhere.
func TestRoutesOfAStream(t *testing.T) {
	led, mayBeLed, notKnown := Finding{Source: Inferred, Version: "s"}, Finding{Several: true}, Finding{}
	toS, toO := DescribeRoutes([]route.Route{streamRoute("/a/", share("s", 1))}), DescribeRoutes([]route.Route{streamRoute("/a/", share("o", 1))})
	half := DescribeRoutes([]route.Route{streamRoute("/a/", share("s", 1), share("o", 1))})
	innerS := DescribeRoutes([]route.Route{streamRoute("/a/", share("o", 1)), streamRoute("/a/b/", share("s", 1))})
	apart := DescribeRoutes([]route.Route{streamRoute("/a/", share("s", 1)), streamRoute("/c/", share("o", 1))})
	observe := func(tracker *Tracker, second float64, texts []string) {
		tracker.Observe(Routes, texts, true, at(second))
	}
	until := func(tracker *Tracker, last float64, texts []string) {
		for second := 1.0; second <= last; second++ {
			observe(tracker, second, texts)
		}
	}
	known := func(texts []string) *Tracker {
		tracker := NewTracker(lifespan)
		observe(tracker, 0, texts)
		tracker.Recall(Routes, nil, at(0))
		return tracker
	}
	past := lifespan.Seconds() + 2
	for name, test := range map[string]struct {
		tracker *Tracker
		change  func(tracker *Tracker)
		path    string
		draw    float64
		at      float64
		want    Finding
		settled bool
	}{
		"nothing observed":               {NewTracker(lifespan), func(*Tracker) {}, "/a/x", 0, 0, notKnown, true},
		"it stays":                       {known(toS), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0, 1, led, true},
		"another path":                   {known(toS), func(tr *Tracker) { observe(tr, 1, toS) }, "/b/x", 0, 1, notKnown, true},
		"it is led here":                 {known(toO), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0, 1, mayBeLed, false},
		"it was led here long ago":       {known(toO), func(tr *Tracker) { until(tr, past, toS) }, "/a/x", 0, past, led, true},
		"it was led away and back":       {known(toS), func(tr *Tracker) { observe(tr, 1, toO); observe(tr, 2, toS) }, "/a/x", 0, 2, mayBeLed, false},
		"shares, both lead here":         {known(half), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0.25, 1, led, false},
		"shares, one led elsewhere":      {known(half), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0.75, 1, mayBeLed, false},
		"one is added within it":         {known(toO), func(tr *Tracker) { observe(tr, 1, innerS) }, "/a/b/x", 0, 1, mayBeLed, false},
		"one is removed from within":     {known(innerS), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/b/x", 0, 1, led, false},
		"beside the one removed":         {known(innerS), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0, 1, mayBeLed, false},
		"one is added beside it":         {known(toS), func(tr *Tracker) { observe(tr, 1, apart) }, "/a/x", 0, 1, led, true},
		"one is removed beside it":       {known(apart), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0, 1, led, true},
		"started lately":                 {NewTracker(lifespan), func(tr *Tracker) { observe(tr, 0, toS) }, "/a/x", 0, 0, notKnown, false},
		"an old configuration":           {known(toS), func(tr *Tracker) { tr.Observe(Routes, toS, false, at(1)) }, "/a/x", 0, 1, notKnown, false},
		"recorded, the same":             {NewTracker(lifespan), func(tr *Tracker) { observe(tr, 0, toS); tr.Recall(Routes, toS, at(0)) }, "/a/x", 0, 0, led, true},
		"recorded, another":              {NewTracker(lifespan), func(tr *Tracker) { observe(tr, 0, toS); tr.Recall(Routes, toO, at(0)) }, "/a/x", 0, 0, mayBeLed, false},
		"recorded, one added since":      {NewTracker(lifespan), func(tr *Tracker) { observe(tr, 0, innerS); tr.Recall(Routes, toO, at(0)) }, "/a/b/x", 0, 0, mayBeLed, false},
		"recorded, read before routes":   {NewTracker(lifespan), func(tr *Tracker) { tr.Recall(Routes, toO, at(0)); observe(tr, 0, innerS) }, "/a/b/x", 0, 0, mayBeLed, false},
		"recorded by a build to come":    {NewTracker(lifespan), func(tr *Tracker) { observe(tr, 0, toS); tr.Recall(Routes, []string{"?"}, at(0)) }, "/a/x", 0, 0, led, true},
		"first start, none was in force": {known(nil), func(tr *Tracker) { observe(tr, 1, toS) }, "/a/x", 0, 1, led, true},
	} {
		t.Run(name, func(t *testing.T) {
			test.change(test.tracker)
			q := RouteQuery{Host: "h", Path: test.path, Draw: test.draw, Service: "s"}
			assert.Equal(t, test.want, test.tracker.Find(q.String(), 1, at(test.at)))
			assert.Equal(t, test.settled, test.tracker.Settled(Routes, at(test.at)), "settled")
		})
	}
}
