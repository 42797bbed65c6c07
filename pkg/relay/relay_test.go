package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that are handed to routers which do not reach the service either,
// and against all of them going to one that does.
func TestChoose(t *testing.T) {
	start := time.Now()
	all := []Router{{"a1", "a", false}, {"a2", "a", false}, {"a3", "a", false}, {"a4", "a", false}, {"b1", "b", false}, {"b2", "b", false}, {"a5", "a", true}}
	served := func(addresses ...string) func(*Selector) {
		return func(s *Selector) {
			for _, address := range addresses {
				s.Served("s", address, start)
			}
		}
	}
	unable := func(addresses ...string) func(*Selector) {
		return func(s *Selector) {
			for _, address := range addresses {
				s.Unable("s", address, start)
			}
		}
	}
	cases := map[string]struct {
		record func(*Selector)
		tried  []string
		after  time.Duration
		want   []string
	}{
		"nothing is known":                   {served(), nil, 0, []string{"a1", "a2", "a3", "a4"}},
		"tried":                              {served(), []string{"a1", "a2", "a3", "a4"}, 0, []string{"b1", "b2"}},
		"one of the own data centre unable":  {unable("a1"), nil, 0, []string{"a2", "a3", "a4", "b1", "b2"}},
		"all of the own data centre unable":  {unable("a1", "a2", "a3", "a4"), nil, 0, []string{"b1", "b2"}},
		"unable some time ago":               {unable("a1", "a2", "a3", "a4"), nil, unableTime, []string{"a1", "a2", "a3", "a4"}},
		"one near serves, another is unable": {func(s *Selector) { unable("a1")(s); served("a2")(s) }, nil, 0, []string{"a2", "a3", "a4"}},
		"enough serve":                       {served("a1", "a2", "a3"), nil, 0, []string{"a1", "a2", "a3"}},
		"enough served some time ago":        {served("a1", "a2", "a3"), nil, servedTime, []string{"a1", "a2", "a3", "a4"}},
		"the only ones left serve":           {func(s *Selector) { unable("a1", "a2", "a3", "a4", "b1")(s); served("b2")(s) }, nil, 0, []string{"b2"}},
		"unreachable for any service":        {func(s *Selector) { s.Unreachable("a1", start); s.Unreachable("a2", start) }, nil, 0, []string{"a3", "a4"}},
		"only one that is stopping":          {unable("a1", "a2", "a3", "a4", "b1", "b2"), nil, 0, []string{"a5"}},
		"none left":                          {unable("a1", "a2", "a3", "a4", "a5", "b1", "b2"), nil, 0, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(1)
			c.record(s)
			chosen := make(map[string]bool)
			for range 200 {
				r, found := s.Choose(Request{Service: "s", DataCentre: "a", Tried: c.tried}, all, start.Add(c.after))
				assert.Equal(t, c.want != nil, found)
				if found {
					chosen[r.Address] = true
				}
			}
			for _, address := range c.want {
				assert.True(t, chosen[address], address)
			}
			assert.Len(t, chosen, len(c.want))
		})
	}
}

// Guards against a share that is left whole to each of several routers.
func TestTakers(t *testing.T) {
	now := time.Now()
	all := []Router{{"a1", "a", false}, {"a2", "a", false}, {"a3", "a", false}, {"b1", "b", false}, {"b2", "b", true}}
	s := New(1)
	var got []int
	add := func() { got = append(got, s.Takers("s", all, now)) }
	add()
	s.Served("s", "a1", now)
	add()
	s.Unable("s", "a2", now)
	s.Unreachable("a3", now)
	add()
	s.Served("s", "b1", now)
	s.Served("s", "b2", now)
	add()
	assert.Equal(t, []int{4, 4, 2, 3}, got)
}

// Guards against routers that all were unable and one of which serves again, unnoticed.
func TestOneOfRoutersThatAllWereUnableIsAskedAgain(t *testing.T) {
	start := time.Now()
	all := []Router{{"a1", "a", false}, {"b1", "b", false}}
	s := New(1)
	s.Unable("s", "b1", start)
	s.Unable("s", "a1", start.Add(time.Millisecond))
	q := Request{Service: "s", DataCentre: "a"}
	asked := func(after time.Duration) string {
		r, _ := s.Choose(q, all, start.Add(after))
		return r.Address
	}
	assert.Equal(t, []string{"", "b1", "", "a1", ""}, []string{
		asked(unableRetryTime - time.Millisecond), asked(unableRetryTime), asked(unableRetryTime),
		asked(unableRetryTime + time.Millisecond), asked(unableRetryTime + time.Millisecond),
	})
}

func TestWhatIsKnownOfOneServiceIsNotUsedForAnother(t *testing.T) {
	s := New(1)
	s.Unable("s", "a1", time.Now())
	_, found := s.Choose(Request{Service: "other", DataCentre: "a"}, []Router{{"a1", "a", false}}, time.Now())
	assert.True(t, found)
}

// Guards against routers without room that ask each other again and again, and against passing over
// a router that is full where none but it reaches the service.
func TestFullRouterIsNotAskedForRoom(t *testing.T) {
	now := time.Now()
	s := New(1)
	only := []Router{{Address: "a"}}
	s.Full("s", "a", now)
	for _, c := range []struct {
		request Request
		after   time.Duration
		want    bool
	}{
		{Request{Service: "s", ForRoom: true}, 0, false},
		{Request{Service: "s", ForRoom: true}, fullTime, true},
		{Request{Service: "s"}, 0, true},
		{Request{Service: "other", ForRoom: true}, 0, true},
	} {
		_, found := s.Choose(c.request, only, now.Add(c.after))
		assert.Equal(t, c.want, found, c)
	}
}

// Guards against requests that are refused for a second since an exchange with the only router that
// reaches the replicas failed.
func TestOnlyRouterIsAskedAgainAfterAnError(t *testing.T) {
	start := time.Now()
	routers := []Router{{"a1", "a", false}, {"a2", "a", false}}
	s := New(1)
	choose := func(after time.Duration, tried ...string) string {
		r, _ := s.Choose(Request{Service: "s", DataCentre: "a", Tried: tried}, routers, start.Add(after))
		return r.Address
	}
	s.Unable("s", "a2", start)
	s.Unreachable("a1", start)
	again := unreachableRetryTime
	assert.Empty(t, choose(again-1, "a2"), "at once")
	assert.Equal(t, "a2", choose(again), "what is reached comes first")
	assert.Equal(t, "a1", choose(again, "a2"))
	assert.Empty(t, choose(again, "a2"), "one request at a time")
	assert.Empty(t, choose(2*again, "a1", "a2"), "not twice for a request")
	assert.Equal(t, "a1", choose(2*again, "a2"))
	s.Full("s", "a1", start.Add(2*again))
	assert.Equal(t, "a1", choose(2*again, "a2"), "it has answered")
	assert.Equal(t, "a1", choose(2*again, "a2"), "it has answered")
}
