package gossip

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/overload"
)

// fakeReports reports what a test put into it, and records what it is given by source.
type fakeReports struct {
	own, group overload.Report
	merged     sync.Map
}

func (f *fakeReports) Report(time.Time) overload.Report { return f.own }

func (f *fakeReports) GroupReport([]string, time.Time) overload.Report { return f.group }

func (f *fakeReports) MergeReport(source string, r overload.Report, _ time.Time) {
	f.merged.Store(source, r)
}

func (f *fakeReports) RemoveSource(source string) { f.merged.Delete(source) }

// from returns the report of a source, or an empty one.
func (f *fakeReports) from(source string) overload.Report {
	r, _ := f.merged.LoadOrStore(source, overload.Report{})
	return r.(overload.Report)
}

// sources returns how many sources have reported.
func (f *fakeReports) sources() int {
	n := 0
	f.merged.Range(func(any, any) bool { n++; return true })
	return n
}

// newReporter returns an idle router that reports.
func newReporter(t *testing.T, own overload.Report) (*router, *fakeReports) {
	t.Helper()
	r, f := newIdleRouter(t, &source{}), &fakeReports{own: own}
	r.gossip.options.Overload = f
	return r, f
}

func exampleReport() overload.Report {
	return overload.Report{
		Replicas: []overload.ReplicaReport{{Replica: 7, Answered: 12.25, Rejected: 0.5, Busy: 3.01}, {Replica: 9, Rejected: 2}},
		Shares:   []overload.ShareReport{{Service: 1, Organisation: 2, Priority: 3, Offered: 40, Usual: 4.017}},
	}
}

// Guards against figures that change in transit, and against values that overflow or are
// not numbers.
func TestReportSurvivesEncoding(t *testing.T) {
	assert.Equal(t, exampleReport(), decodeReport(encodeReport(exampleReport())))
	hostile := overload.Report{
		Replicas: []overload.ReplicaReport{{Replica: 1, Answered: math.Inf(1), Rejected: math.NaN(), Busy: -1}, {Replica: 2, Answered: 0.004}},
		Shares:   []overload.ShareReport{{Offered: math.MaxFloat64, Usual: math.MaxFloat64, Priority: math.MaxInt}, {Offered: 1, Usual: math.NaN(), Priority: -1}, {Offered: math.Inf(-1), Usual: -1}, {Usual: 0.0004}, {Usual: 0.001}},
	}
	assert.Equal(t, overload.Report{
		Replicas: []overload.ReplicaReport{{Replica: 1, Answered: maxReportRate}},
		Shares:   []overload.ShareReport{{Offered: maxReportRate, Usual: maxReportRate / usualScale, Priority: maxReportPriority}, {Offered: 1}, {Usual: 0.001}},
	}, decodeReport(encodeReport(hostile)))
	assert.Nil(t, encodeReport(overload.Report{Replicas: hostile.Replicas[1:]}), "a report without rates is not sent")
}

// Guards against a report of many rows that loses the busiest ones.
func TestLongReportKeepsHighestRates(t *testing.T) {
	var r overload.Report
	for i := range 3 * maxReportRows {
		r.Replicas = append(r.Replicas, overload.ReplicaReport{Replica: uint32(i), Answered: float64(i + 1)})
		r.Shares = append(r.Shares, overload.ShareReport{Service: uint32(i), Offered: float64(i + 1)})
	}
	got := decodeReport(encodeReport(r))
	require.Len(t, got.Replicas, maxReportRows)
	require.Len(t, got.Shares, maxReportRows)
	assert.InDelta(t, 3*maxReportRows, got.Replicas[0].Answered, 0)
	assert.InDelta(t, 2*maxReportRows+1, got.Shares[maxReportRows-1].Offered, 0)
}

// Guards against damaged and hostile messages that crash a router or take its memory.
func TestHostileReportsAreBounded(t *testing.T) {
	assert.Equal(t, overload.Report{Replicas: []overload.ReplicaReport{{Replica: 1, Answered: maxReportRate}}},
		decodeReport(&gossippb.Overload{Replica: []uint32{1, 2, 3}, Answered: []uint32{math.MaxUint32, 2}, Rejected: []uint32{0}, Busy: []uint32{0, 5}, Service: []uint32{1}, Priority: []uint32{2}}))
	assert.Equal(t, overload.Report{}, decodeReport(&gossippb.Overload{}))
	two := []uint32{1, 2}
	assert.Equal(t, overload.Report{Shares: []overload.ShareReport{{Service: 1, Organisation: 1, Priority: 1, Offered: 0.01, Usual: maxReportRate / usualScale}}},
		decodeReport(&gossippb.Overload{Service: two, Organisation: two, Priority: two, Offered: two, Usual: []uint32{math.MaxUint32}}))
	million := make([]uint32, 1_000_000)
	r, f := newReporter(t, overload.Report{})
	hostile := &gossippb.Overload{Replica: million, Answered: million, Rejected: million, Busy: million, Service: million, Organisation: million, Priority: million, Offered: million, Usual: million}
	_, err := r.gossip.Exchange(t.Context(), &gossippb.Digest{Sender: "127.0.0.9:9", Overload: hostile})
	require.NoError(t, err)
	got := f.from("127.0.0.9:9")
	assert.Len(t, got.Replicas, maxReportRows)
	assert.Len(t, got.Shares, maxReportRows)
}

// Guards against reports that do not arrive, or that outlive the router that sent them.
func TestReportsReachOtherRouters(t *testing.T) {
	first, firstReports := newReporter(t, exampleReport())
	second, secondReports := newReporter(t, overload.Report{Replicas: exampleReport().Replicas[1:]})
	for range 2 {
		for a, b := range map[*router]*router{first: second, second: first} {
			a.gossip.exchange(t.Context(), b.gossip.Address(), a.gossip.digests(steady.Now(), false).own)
		}
	}
	assert.Equal(t, exampleReport(), secondReports.from(first.gossip.Address()))
	assert.Equal(t, secondReports.own, firstReports.from(second.gossip.Address()))
	second.gossip.recordLeave(first.gossip.Address(), steady.Now())
	first.gossip.forgetLost([]string{second.gossip.Address()})
	assert.Zero(t, secondReports.sources())
	assert.Zero(t, firstReports.sources())
}

// Guards against a router that is counted twice, by itself and within the sum of a line, so
// that requests are refused for demand that does not exist.
func TestLargeFleetTakesReportsThatAddUp(t *testing.T) {
	r, f := newReporter(t, exampleReport())
	f.group = overload.Report{Replicas: exampleReport().Replicas[:1]}
	for port := range 8 * maxPartners {
		r.gossip.members.RecordHeartbeat(fmt.Sprintf("127.0.0.2:%d", port+1), steady.Now())
	}
	report := encodeReport(exampleReport())
	send := func(d *gossippb.Digest) bool {
		d.Overload = report
		before := f.sources()
		r.gossip.mergeReport(d, steady.Now())
		return f.sources() > before
	}
	assert.True(t, send(&gossippb.Digest{Sender: "127.0.0.3:1"}), "a member of a fleet that seems small")
	r.gossip.runRound(t.Context())
	assert.Zero(t, f.sources(), "its line may report it from now on")
	r.gossip.mu.Lock()
	partners := r.gossip.partners
	line, lines := r.gossip.members.Line()
	r.gossip.mu.Unlock()
	other := uint32((line + 1) % lines)
	assert.True(t, send(&gossippb.Digest{Sender: partners.Line[0]}))
	assert.True(t, send(&gossippb.Digest{Sender: partners.RelayTo[0], Line: other, Lines: uint32(lines)}))
	for name, d := range map[string]*gossippb.Digest{
		"not of the line":  {Sender: partners.RelayTo[0]},
		"own line":         {Sender: partners.Line[0], Line: uint32(line), Lines: uint32(lines)},
		"another division": {Sender: partners.RelayTo[0], Line: other, Lines: uint32(2 * lines)},
		"no such line":     {Sender: partners.RelayTo[0], Line: uint32(lines), Lines: uint32(lines)},
	} {
		assert.False(t, send(d), name)
	}
	assert.Equal(t, exampleReport(), f.from(fmt.Sprintf("line %d of %d", other, lines)))
	d := r.gossip.digests(steady.Now(), true)
	assert.Equal(t, exampleReport(), decodeReport(d.own.Overload))
	assert.Equal(t, f.group, decodeReport(d.line.Overload))
	r.gossip.pace = roundPace{bytes: math.MaxInt32}
	r.gossip.largeRoundDue(steady.Now())
	assert.True(t, r.gossip.largeRoundDue(steady.Now()), "rounds are not stretched while a report has shares")
	r.gossip.updateView(false)
	assert.Zero(t, f.sources())
}

// Guards against other bytes on the wire in deployments without admission control, and
// while there is nothing to report.
func TestNothingIsSentWhileOff(t *testing.T) {
	off := newIdleRouter(t, &source{})
	on, reports := newReporter(t, overload.Report{})
	for _, large := range []bool{false, true} {
		for _, r := range []*router{off, on} {
			d := r.gossip.digests(steady.Now(), large)
			assert.Nil(t, d.own.Overload)
			assert.Nil(t, d.line.GetOverload())
		}
	}
	// A router that is off ignores what others send, as an older build does.
	off.gossip.mergeReport(&gossippb.Digest{Sender: "127.0.0.9:9", Overload: encodeReport(exampleReport())}, steady.Now())
	assert.Empty(t, off.gossip.reportSources)
	// A message of an older build takes nothing away.
	on.gossip.mergeReport(&gossippb.Digest{Sender: "127.0.0.9:9", Overload: encodeReport(exampleReport())}, steady.Now())
	on.gossip.mergeReport(&gossippb.Digest{Sender: "127.0.0.9:9"}, steady.Now())
	assert.Equal(t, exampleReport(), reports.from("127.0.0.9:9"))
}

// Guards against reports that take a router's control traffic: ten replicas at a hundred
// requests a second each are some ten bytes a replica.
func TestReportAtRestIsSmall(t *testing.T) {
	const most = 105
	var r overload.Report
	for i := range 10 {
		r.Replicas = append(r.Replicas, overload.ReplicaReport{Replica: math.MaxUint32 - uint32(i), Answered: 99.99, Rejected: 0.01, Busy: 6.25})
	}
	size := len(encodeDigest(&gossippb.Digest{Overload: encodeReport(r)})) - len(encodeDigest(&gossippb.Digest{}))
	assert.LessOrEqual(t, size, most)
}

// Guards against a change of the wire format (testdata/overload is what the first build with
// reports wrote, testdata/usual the first with usual demands), against shares without a usual
// demand, each of which would look like a surge, and against a field that makes older builds
// misread the others.
func TestReportsBetweenBuilds(t *testing.T) {
	var d gossippb.Datagram
	readMessage(t, "overload", "datagram", &d)
	assert.Equal(t, overload.Report{Replicas: exampleReport().Replicas}, decodeReport(d.Digest.Overload))
	readMessage(t, "usual", "datagram", &d)
	assert.Equal(t, exampleReport(), decodeReport(d.Digest.Overload))
	text, err := proto.Marshal(d.Digest)
	require.NoError(t, err)
	older := dynamicpb.NewMessage(digestWithoutReports(t))
	require.NoError(t, proto.Unmarshal(text, older))
	assert.NotEmpty(t, older.GetUnknown())
	older.SetUnknown(nil)
	text, err = proto.Marshal(older)
	require.NoError(t, err)
	var read gossippb.Digest
	require.NoError(t, proto.Unmarshal(text, &read))
	d.Digest.Overload = nil
	assert.True(t, proto.Equal(d.Digest, &read), "what the older build knows of the message")

	r, f := newReporter(t, overload.Report{})
	for _, build := range []string{"56dafcd", "d51716a", "generations"} {
		readMessage(t, build, "datagram", &d)
		r.gossip.handleDigest(d.Digest, steady.Now())
	}
	assert.Zero(t, f.sources(), "older builds report nothing")
}

// digestWithoutReports returns the digest as the builds before reports know it.
func digestWithoutReports(t *testing.T) protoreflect.MessageDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(gossippb.File_gossip_proto)
	for _, m := range file.MessageType {
		m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetName() == "overload" })
	}
	older, err := protodesc.NewFile(file, nil)
	require.NoError(t, err)
	return older.Messages().ByName("Digest")
}
