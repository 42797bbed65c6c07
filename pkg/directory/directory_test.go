package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Now()

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func ready(ids ...string) []Replica {
	var list []Replica
	for _, id := range ids {
		list = append(list, Replica{ID: id, Service: "s", Address: id + ":1"})
	}
	return list
}

func changes(list []Change) map[string]ChangeKind {
	out := make(map[string]ChangeKind)
	for _, c := range list {
		out[c.Replica.ID] = c.Kind
	}
	return out
}

func TestReplicasJoinDrainAndLeave(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	assert.Equal(t, map[string]ChangeKind{"a": Joined, "b": Joined}, changes(d.Replace(ready("a", "b"), at(0))))
	draining := ready("a", "b")
	draining[1].State = Draining
	assert.Equal(t, map[string]ChangeKind{"b": DrainStarted}, changes(d.Replace(draining, at(1))))
	assert.Empty(t, d.Replace(draining, at(2)))
	assert.Equal(t, map[string]ChangeKind{"b": Left}, changes(d.Replace(ready("a"), at(3))))
	assert.Empty(t, d.Replace(ready("a", "b"), at(2)), "an older read is ignored")
	assert.Len(t, d.List(), 1)
}

func TestReplicasMissingAfterAnOutageStayUnconfirmed(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(ready("a", "b"), at(0))
	assert.Equal(t, map[string]ChangeKind{"a": Unconfirmed, "b": Unconfirmed}, changes(d.Replace(nil, at(10))))
	assert.Len(t, d.List(), 2)
	assert.Empty(t, d.Listed(), "unconfirmed replicas are not passed on")
	empty := d.Hash(HashWithStarts)
	assert.Equal(t, map[string]ChangeKind{"a": ListedAgain}, changes(d.Replace(ready("a"), at(11))), "it is a change, because the hash changes")
	assert.NotEqual(t, empty, d.Hash(HashWithStarts))
	assert.Equal(t, map[string]ChangeKind{"b": Left}, changes(d.Replace(ready("a"), at(12.5))))
	assert.Equal(t, map[string]ChangeKind{"a": Left}, changes(d.Replace(nil, at(13))), "the outage is over")
}

func TestMissingReplicaWithReusedAddressIsRemoved(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(ready("a"), at(0))
	other := Replica{ID: "new", Service: "t", Address: "a:1"}
	assert.Equal(t, map[string]ChangeKind{"a": Left, "new": Joined}, changes(d.Replace([]Replica{other}, at(10))))
}

func TestConfirmCountsAsARead(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(ready("a"), at(0))
	assert.Empty(t, d.Confirm(at(2)))
	assert.Empty(t, d.Confirm(at(4)))
	assert.Equal(t, at(4), d.ReadTime())
	assert.Equal(t, map[string]ChangeKind{"a": Left}, changes(d.Replace(nil, at(6))), "there was no outage")
}

func TestHashDependsOnContentOnly(t *testing.T) {
	one, two := New(0, 0), New(0, 0)
	one.Replace(ready("a", "b"), at(0))
	two.Replace(ready("b", "a"), at(5))
	assert.Equal(t, one.Hash(HashWithStarts), two.Hash(HashWithStarts))
	two.Replace(ready("a"), at(6))
	assert.NotEqual(t, one.Hash(HashWithStarts), two.Hash(HashWithStarts))
}

// An outage of the list can be too short to be noticed between two reads. If most entries
// of a service expire in it, their replicas must keep receiving requests.
func TestMostOfAServiceMissingIsUnconfirmedWithoutAnOutage(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	d.Replace(ready("a", "b", "c", "d", "e"), at(0))
	assert.Equal(t, map[string]ChangeKind{"a": Left, "b": Left}, changes(d.Replace(ready("c", "d", "e"), at(1))), "two of five may leave")
	assert.Equal(t, map[string]ChangeKind{"c": Unconfirmed, "d": Unconfirmed}, changes(d.Replace(ready("e"), at(2))))
	assert.Equal(t, map[string]ChangeKind{"c": ListedAgain}, changes(d.Replace(ready("c", "e"), at(3))))
	assert.Equal(t, map[string]ChangeKind{"d": Left}, changes(d.Replace(ready("c", "e"), at(4))))
}

// Guards against sending requests to replicas that drained and left while this router's
// reads were late. Treated as victims of an outage, they received work for two more
// heartbeats.
func TestFewMissingReplicasAfterAPauseAreRemoved(t *testing.T) {
	d := New(3*time.Second, 2*time.Second)
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	d.Replace(ready(ids...), at(0))
	assert.Equal(t, map[string]ChangeKind{"a": Left, "b": Left}, changes(d.Replace(ready(ids[2:]...), at(10))), "two of seven")
	assert.Equal(t, map[string]ChangeKind{"c": Unconfirmed, "d": Unconfirmed}, changes(d.Replace(ready(ids[4:]...), at(20))), "two of five")
	alone := New(3*time.Second, 2*time.Second)
	alone.Replace(ready("a"), at(0))
	assert.Equal(t, map[string]ChangeKind{"a": Unconfirmed}, changes(alone.Replace(nil, at(10))), "all there were")
}

// Whether a replica may have announced its shutdown long ago depends on when it was last
// listed itself, not on when the list was read.
func TestNotListedSinceUsesEachReplicasLastListing(t *testing.T) {
	d := New(10*time.Second, 10*time.Second)
	d.Replace(ready("a", "b", "c"), at(0))
	d.Replace(ready("a"), at(1))
	assert.Len(t, d.List(), 3, "two of three are missing at once and unconfirmed")
	assert.Empty(t, d.NotListedSince(at(0), time.Time{}))
	assert.ElementsMatch(t, []string{"b", "c"}, d.NotListedSince(at(0.5), time.Time{}))
	assert.ElementsMatch(t, []string{"b", "c"}, d.NotListedSince(at(0.5), at(-1)), "an outage before the last listing has no effect")
	assert.Empty(t, d.NotListedSince(at(0.5), at(0.5)), "the list was unavailable after they were listed")
	assert.Empty(t, d.NotListedSince(at(0.9), at(0.5)), "the first read without them is recent enough")
	assert.ElementsMatch(t, []string{"a", "b", "c"}, d.NotListedSince(at(1.5), at(1.2)), "neither a listed replica nor one unconfirmed for so long is left out")
	d.Replace(ready("a", "b", "c"), at(2))
	assert.Empty(t, d.NotListedSince(at(2), time.Time{}))
}

// A closed connection removes a replica that no list names. For a listed replica the list
// decides.
func TestRemoveUnconfirmedOnClosedConnection(t *testing.T) {
	d := New(10*time.Second, 10*time.Second)
	d.Replace(ready("a", "b", "c"), at(0))
	d.Replace(ready("a"), at(1))
	assert.Empty(t, d.RemoveUnconfirmed("a"))
	changes := d.RemoveUnconfirmed("b")
	if assert.Len(t, changes, 1) {
		assert.Equal(t, ConnectionsClosed, changes[0].Kind)
	}
	assert.Empty(t, d.RemoveUnconfirmed("b"))
	assert.Equal(t, []bool{true, false, true}, []bool{d.Ready("a"), d.Ready("b"), d.Ready("c")})
	d.Replace(ready("a", "b"), at(2))
	assert.True(t, d.Ready("b"), "listed again, so it closed its connection for another reason")
}
