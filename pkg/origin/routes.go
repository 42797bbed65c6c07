package origin

import (
	"cmp"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftyard/croftyard/pkg/route"
)

// What two services write does not fit together either. An operator may lead a route to another
// service, or change its shares, while its streams last. The routes of a stream's lifetime are
// therefore observed and recorded in the store as the versions of a service are, under a name that
// no service has. A stream without a record goes on only if each of them leads it to the same
// service:
//
//	a route is changed               its former shares count for a stream's lifetime
//	one is added within another      the shares of the other one count as its former ones
//	one is removed                   its shares count for the paths below it

// Routes stands for the routes in place of a service's name. Their "versions" are the texts of
// DescribeRoutes.
const Routes = "/routes"

// describedRoute is the part of a route that decides at which service a stream begins.
type describedRoute struct {
	host, prefix string
	shares       []route.Share
}

// DescribeRoutes returns a text for each route whose requests are answered by streams, sorted.
func DescribeRoutes(routes []route.Route) []string {
	var texts []string
	for i := range routes {
		r := &routes[i]
		if r.Kind == route.Stream || r.Resumable {
			d := describedRoute{strings.ToLower(r.Host), r.Prefix, normalized(r.Shares)}
			texts = append(texts, d.String())
		}
	}
	slices.Sort(texts)
	return slices.Compact(texts)
}

// normalized returns shares that select the same services, with the least weights.
func normalized(shares []route.Share) []route.Share {
	divisor := 0
	for _, s := range shares {
		divisor = gcd(s.Weight, divisor)
	}
	if divisor == 0 {
		// Without any weight, the last one is selected.
		return []route.Share{{Service: shares[len(shares)-1].Service, Weight: 1}}
	}
	var list []route.Share
	for _, s := range shares {
		if s.Weight > 0 {
			list = append(list, route.Share{Service: s.Service, Weight: s.Weight / divisor})
		}
	}
	return list
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// String returns the text of a route: its host, its prefix, and pairs of a service and a weight.
func (d describedRoute) String() string {
	words := []string{url.QueryEscape(d.host), url.QueryEscape(d.prefix)}
	for _, s := range d.shares {
		words = append(words, url.QueryEscape(s.Service), strconv.Itoa(s.Weight))
	}
	return strings.Join(words, " ")
}

// parseRoute reads the text of a route. One of another form, which other builds may record, leads to
// no service.
func parseRoute(text string) (d describedRoute, valid bool) {
	words := strings.Split(text, " ")
	if len(words) < 4 || len(words)%2 != 0 {
		return d, false
	}
	for i, word := range words {
		unescaped, err := url.QueryUnescape(word)
		if err != nil {
			return d, false
		}
		words[i] = unescaped
	}
	d.host, d.prefix = words[0], words[1]
	for pair := range slices.Chunk(words[2:], 2) {
		weight, err := strconv.Atoi(pair[1])
		if err != nil || weight <= 0 {
			return d, false
		}
		d.shares = append(d.shares, route.Share{Service: pair[0], Weight: weight})
	}
	return d, true
}

func parseRoutes(texts []string) []describedRoute {
	var list []describedRoute
	for _, text := range texts {
		if d, valid := parseRoute(text); valid {
			list = append(list, d)
		}
	}
	return list
}

// longest returns those of the routes that the requests of a path match, by the longest prefix.
func longest(routes []describedRoute, host, path string) []describedRoute {
	var found []describedRoute
	for _, d := range routes {
		if d.host != host || !strings.HasPrefix(path, d.prefix) {
			continue
		}
		if len(found) > 0 && len(d.prefix) != len(found[0].prefix) {
			if len(d.prefix) < len(found[0].prefix) {
				continue
			}
			found = nil
		}
		found = append(found, d)
	}
	return found
}

// inherited returns the texts of former shares for routes that were added: those of the routes that
// their requests matched before.
func inherited(former, added []describedRoute) []string {
	var texts []string
	for _, d := range added {
		for _, f := range longest(former, d.host, d.prefix) {
			texts = append(texts, describedRoute{d.host, d.prefix, f.shares}.String())
		}
	}
	return texts
}

// RouteQuery asks whether all routes of a stream's lifetime lead it to the same service.
type RouteQuery struct {
	// Host is that of the route, in lower case, and Path the path of the request.
	Host, Path string
	// Draw selects the share of the route.
	Draw    float64
	Service string
}

// maxQueryPath bounds the path in a query, in bytes.
const maxQueryPath = 256

// String returns the query in the form in which Find and other routers take it in place of a
// service's name. Builds without it know no service of the name, and answer that they do not know.
func (q RouteQuery) String() string {
	path := q.Path
	if len(path) > maxQueryPath {
		path = path[:maxQueryPath]
	}
	draw := strconv.FormatFloat(q.Draw, 'g', -1, 64)
	return strings.Join([]string{Routes, url.QueryEscape(q.Host), url.QueryEscape(path), draw, url.QueryEscape(q.Service)}, " ")
}

// errNoQuery is returned for texts that are no RouteQuery.
var errNoQuery = errors.New("origin: no query of a route")

func parseRouteQuery(text string) (q RouteQuery, err error) {
	if !strings.HasPrefix(text, Routes+" ") {
		return q, errNoQuery
	}
	words := strings.Split(text, " ")
	if len(words) != 5 {
		return q, errNoQuery
	}
	host, hostErr := url.QueryUnescape(words[1])
	path, pathErr := url.QueryUnescape(words[2])
	draw, drawErr := strconv.ParseFloat(words[3], 64)
	service, serviceErr := url.QueryUnescape(words[4])
	return RouteQuery{host, path, draw, service}, cmp.Or(hostErr, pathErr, drawErr, serviceErr)
}

// observedRoutes are the routes of a Tracker as last observed.
type observedRoutes struct {
	mu    sync.Mutex
	texts []string
	// unsettled is set while a route may have led elsewhere within a stream's lifetime.
	unsettled bool
}

// inheritRoutes notes the texts of routes that were observed, and the former shares of those that
// were added.
func (t *Tracker) inheritRoutes(texts []string, now time.Time) {
	t.routes.mu.Lock()
	defer t.routes.mu.Unlock()
	if !slices.Equal(t.routes.texts, texts) {
		t.history.Add(Routes, inherited(addedRoutes(t.routes.texts, texts)), now)
		t.routes.texts = slices.Clone(texts)
	}
	t.routes.unsettled = t.routesUnsettled(now)
}

// recallRoutes notes the former shares of routes that are not among those that were recorded. An
// empty record is that of a build without routes.
func (t *Tracker) recallRoutes(recorded []string, now time.Time) {
	t.routes.mu.Lock()
	defer t.routes.mu.Unlock()
	if t.routes.texts == nil {
		// The first observation follows.
		t.routes.texts = slices.Clone(recorded)
		return
	}
	t.history.Add(Routes, inherited(addedRoutes(recorded, t.routes.texts)), now)
	t.routes.unsettled = t.routesUnsettled(now)
}

// addedRoutes returns the routes before, and those of now that none of them has the host and prefix of.
func addedRoutes(before, now []string) (former, added []describedRoute) {
	former = parseRoutes(before)
	known := make(map[[2]string]bool, len(former))
	for _, f := range former {
		known[[2]string{f.host, f.prefix}] = true
	}
	for _, d := range parseRoutes(now) {
		if !known[[2]string{d.host, d.prefix}] {
			added = append(added, d)
		}
	}
	return former, added
}

// routesUnsettled reports whether routes are not known for a stream's lifetime, or one of that time has
// other shares than the route that its requests match now.
func (t *Tracker) routesUnsettled(now time.Time) bool {
	served := t.Served(Routes, now)
	if !served.Complete || served.Stale {
		return true
	}
	if len(served.Versions) == len(served.Serving) {
		return false
	}
	current := parseRoutes(served.Serving)
	for _, d := range parseRoutes(served.Versions) {
		for _, matched := range longest(current, d.host, d.prefix) {
			if !slices.Equal(matched.shares, d.shares) {
				return true
			}
		}
	}
	return false
}

// Settled reports whether it is known that streams of a service began at a single version, and that no
// route led its streams elsewhere.
func (t *Tracker) Settled(service string, now time.Time) bool {
	t.routes.mu.Lock()
	unsettled := t.routes.unsettled
	t.routes.mu.Unlock()
	return !unsettled && (service == Routes || t.Served(service, now).IsSingle())
}

// findRoute returns whether all routes of a stream's lifetime lead it to the same service.
func (t *Tracker) findRoute(q RouteQuery, now time.Time) Finding {
	served := t.Served(Routes, now)
	found := longest(parseRoutes(served.Versions), q.Host, q.Path)
	for _, d := range found {
		leads := route.Route{Shares: d.shares}
		if leads.Service(q.Draw) != q.Service {
			return Finding{Several: true}
		}
	}
	if len(found) == 0 || !served.Complete || served.Stale {
		return Finding{}
	}
	return Finding{Source: Inferred, Version: q.Service}
}
