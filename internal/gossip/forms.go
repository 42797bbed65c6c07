package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

// During an upgrade routers of two builds run side by side, and one that knows fewer
// fields of an entry computes another hash of the same list. It gets the hash in its own
// form, to see that it has the same list; otherwise it would fetch the whole list with
// each new proof.

// recordForm records in which form a router hashes lists.
func (g *Gossip) recordForm(d *gossippb.Digest) {
	if d.ProofMs == nil {
		return
	}
	plain, known := g.watcher.UsesPlainHash(d.Mark)
	if !known {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if plain {
		g.plain[d.Sender] = true
	} else {
		delete(g.plain, d.Sender)
	}
}

// forgetForm forgets in which form a router hashes lists.
func (g *Gossip) forgetForm(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.plain, address)
}

// usesPlainForm reports whether a router hashes lists as older builds do.
func (g *Gossip) usesPlainForm(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plain[address]
}

// OlderFormatPeers returns how many of the known routers run a build that hashes lists in
// an older form.
func (g *Gossip) OlderFormatPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.plain)
}

// inPlainForm returns a digest with the list hash of older builds.
func (g *Gossip) inPlainForm(d *gossippb.Digest) *gossippb.Digest {
	if d == nil || d.ProofMs == nil {
		return d
	}
	plain := proto.CloneOf(d)
	plain.Mark = g.watcher.PlainHash()
	return plain
}
