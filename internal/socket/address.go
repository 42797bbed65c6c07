package socket

import "net/netip"

// IsAddress reports whether a text is host:port at which something can listen.
func IsAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
