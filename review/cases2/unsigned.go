package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/croftyard/croftyard/review/rig2"
)

// unsigned: one of three replicas sends some answers that are none of the protocol: a 200 without the
// signature, with other bytes. MIXED: no client gets a success without it.
func unsigned(w *world) (bool, error) {
	const spoiled = 1 // of 20: 0.05
	wait := w.failFirst(failPart(spoiled, func(rw http.ResponseWriter, run *rig2.Run, _ int64) {
		run.Note = "sent other bytes, without " + rig2.SignatureHeader
		text := fmt.Sprintf("bytes that are no answer to %s", run.Attempt)
		rw.Header().Del(rig2.SignatureHeader)
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text)
	}), spoiling)
	replies := w.send(failClients, calmBefore+spoiling+calmAfter, request{http.MethodGet, "/safe/", rig2.Key})
	wait()
	w.sum(replies)
	wrong := 0
	for _, r := range replies {
		if r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Signature == "" {
			wrong++
		}
	}
	if wrong > 0 {
		w.note("MIXED broken: %d successes without a signature", wrong)
	}
	return wrong > 0, nil
}
