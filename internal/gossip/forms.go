package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

// Routers of two builds run side by side during an upgrade, and one that knows less of an
// entry names the same list by another mark. Told in its own form it sees that it has the
// same; else it would take the whole list with each new proof.

// recordForm notes in which form a router names lists.
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

// forgetForm forgets in which form a router names lists.
func (g *Gossip) forgetForm(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.plain, address)
}

// usesPlainForm tells whether a router names lists as older builds do.
func (g *Gossip) usesPlainForm(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plain[address]
}

// OlderFormatPeers returns how many of the routers known are of a build that names lists in an older
// form.
func (g *Gossip) OlderFormatPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.plain)
}

// inPlainForm returns a digest as older builds understand it.
func (g *Gossip) inPlainForm(d *gossippb.Digest) *gossippb.Digest {
	if d == nil || d.ProofMs == nil {
		return d
	}
	plain := proto.CloneOf(d)
	plain.Mark = g.watcher.PlainHash()
	return plain
}
