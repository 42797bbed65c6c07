package retry

// slotsPerWindow divides the window. A slot counts until its end is older than the window, so that
// what is counted is up to this part of it too long.
const slotsPerWindow = 40

// account holds the retries and requests of one service at one router over the last window, as a
// sum to which a retry adds one and a request subtracts the ratio.
type account struct {
	// slots is a ring. slot is the number of the newest one.
	slots [slotsPerWindow + 1]slot
	slot  int64
	// total is the sum of the account's life.
	total float64
	// open is what was admitted or lent and may be used at any moment.
	open float64
}

// slot is a part of the window.
type slot struct {
	// sum is that of the slot, most the largest sum from any moment in it to its end.
	sum, most float64
	// expired is what was lent and counts as used at the end of the slot. It is kept apart, since
	// most does not tell what it would be without a part of what was added.
	expired float64
}

// advance begins the slots up to a number.
func (a *account) advance(to int64) {
	if to-a.slot >= int64(len(a.slots)) {
		a.slots = [len(a.slots)]slot{}
		a.slot = to
	}
	for a.slot < to {
		a.slot++
		*a.newest() = slot{}
	}
}

func (a *account) newest() *slot { return &a.slots[a.slot%int64(len(a.slots))] }

// add adds to the sum as of now.
func (a *account) add(x float64) { a.addAt(x, a.slot) }

// addAt adds to the sum as of the end of a slot, which may be one that counts no more.
func (a *account) addAt(x float64, number int64) {
	a.total += x
	if s := a.at(number); s != nil {
		s.sum += x
		s.most = max(s.most+x, 0)
	}
}

// expireAt adds a loan without a settlement to the sum as of the end of a slot. A negative amount
// takes a part of it back.
func (a *account) expireAt(x float64, number int64) {
	a.total += x
	if s := a.at(number); s != nil {
		s.expired += x
	}
}

// at returns the slot of a number, or nil if it counts no more.
func (a *account) at(number int64) *slot {
	n := int64(len(a.slots))
	if number <= a.slot-n {
		return nil
	}
	return &a.slots[number%n]
}

// excess returns the largest sum from any moment in the window until now.
func (a *account) excess() float64 {
	later, most := 0.0, 0.0
	n := int64(len(a.slots))
	for i := range n {
		s := &a.slots[(a.slot-i+n)%n]
		most = max(most, later+s.expired+s.most)
		later += s.expired + s.sum
	}
	return most
}
