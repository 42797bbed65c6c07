package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Admission tells whether requests to services without engines are refused while those are
// short of capacity.
type Admission string

// The values of Admission.
const (
	// AdmissionAuto: on where the platform's contracts or its replicas indicate that
	// services run short of capacity.
	AdmissionAuto Admission = "auto"
	AdmissionOn   Admission = "on"
	AdmissionOff  Admission = "off"
)

// Overload configures what a router does about services that are short of capacity.
type Overload struct {
	Admission Admission
}

func defaultOverload() Overload { return Overload{Admission: AdmissionOff} }

func (r *reader) overload(o *Overload) {
	r.section("overload")
	v, set := r.value("admission")
	if !set {
		return
	}
	switch a := Admission(v); a {
	case AdmissionAuto, AdmissionOn, AdmissionOff:
		o.Admission = a
	default:
		r.reject("overload", "admission", v, fmt.Sprintf("must be %s, %s or %s", AdmissionAuto, AdmissionOn, AdmissionOff))
	}
}

// words reads a list of words that are separated by commas. An empty value is an empty list.
func (r *reader) words(key string, to *[]string) {
	v, set := r.value(key)
	if !set || strings.TrimSpace(v) == "" {
		return
	}
	list := strings.Split(v, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	if slices.ContainsFunc(list, func(word string) bool { return word == "" || strings.ContainsAny(word, " \t") }) {
		r.reject(r.current, key, v, "must be words that are separated by commas")
		return
	}
	*to = list
}
