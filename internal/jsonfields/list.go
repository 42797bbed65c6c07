package jsonfields

import "encoding/json"

// List is a list that is nil if its field is absent and empty if the field has no entries. With the
// option omitzero it is written as it was read.
type List[T any] []T

// UnmarshalJSON implements json.Unmarshaler. The result is not nil, even for null.
func (l *List[T]) UnmarshalJSON(b []byte) error {
	var entries []T
	if err := json.Unmarshal(b, &entries); err != nil {
		return err
	}
	*l = append(List[T]{}, entries...)
	return nil
}
