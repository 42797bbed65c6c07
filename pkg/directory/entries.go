package directory

import "time"

// The sums over all entries are kept up to date with each change, since the list may be
// long and changes often by a few entries.

// sendsElsewhere reports whether two entries of one replica differ in what matters to the
// requests sent to it.
func (r *Replica) sendsElsewhere(old *Replica) bool {
	return r.Service != old.Service || r.Address != old.Address || r.DataCentre != old.DataCentre || r.Slots != old.Slots || r.Version != old.Version
}

// add adds a confirmed entry.
func (d *Directory) add(e *entry) {
	d.entries[e.replica.ID] = e
	d.addresses[e.replica.Address]++
	d.count(e)
}

// remove removes an entry, confirmed or not.
func (d *Directory) remove(e *entry) {
	if e.unconfirmedSince.IsZero() {
		d.discount(e)
	}
	delete(d.unconfirmed, e.replica.ID)
	delete(d.entries, e.replica.ID)
	d.releaseAddress(e.replica.Address)
}

func (d *Directory) releaseAddress(address string) {
	if d.addresses[address]--; d.addresses[address] == 0 {
		delete(d.addresses, address)
	}
}

// replaceContent replaces the content of a confirmed entry.
func (d *Directory) replaceContent(e *entry, r Replica) {
	d.discount(e)
	d.releaseAddress(e.replica.Address)
	e.replica, e.hashes = r, hashContent(&r)
	d.addresses[r.Address]++
	d.count(e)
}

// confirm marks an entry as listed by the last read.
func (d *Directory) confirm(e *entry) {
	if e.unconfirmedSince.IsZero() {
		return
	}
	e.unconfirmedSince = time.Time{}
	delete(d.unconfirmed, e.replica.ID)
	d.count(e)
}

// markUnconfirmed marks a confirmed entry as missing from the last read. before is when the
// last read that listed it was sent.
func (d *Directory) markUnconfirmed(e *entry, before time.Time) {
	d.discount(e)
	e.lastListed, e.unconfirmedSince = before, d.readTime
	d.unconfirmed[e.replica.ID] = e
}

// count adds a confirmed entry to the sums.
func (d *Directory) count(e *entry) {
	d.sums.add(e.hashes)
	clear(d.partSums)
	if e.replica.State == Ready {
		d.ready[e.replica.Service]++
	}
}

// discount reverts count.
func (d *Directory) discount(e *entry) {
	d.sums.subtract(e.hashes)
	clear(d.partSums)
	if e.replica.State != Ready {
		return
	}
	if d.ready[e.replica.Service]--; d.ready[e.replica.Service] == 0 {
		delete(d.ready, e.replica.Service)
	}
}

// lastListed returns when the last read that listed an entry was sent.
func (d *Directory) lastListed(e *entry) time.Time {
	if e.unconfirmedSince.IsZero() {
		return d.readTime
	}
	return e.lastListed
}

// listedBefore returns when the last read was sent that listed an entry before the present one.
func (d *Directory) listedBefore(e *entry) time.Time {
	if e.unconfirmedSince.IsZero() {
		return d.previousRead
	}
	return e.lastListed
}

func (c *contentHashes) add(other contentHashes) {
	for f := range c {
		c[f] += other[f]
	}
}

func (c *contentHashes) subtract(other contentHashes) {
	for f := range c {
		c[f] -= other[f]
	}
}
