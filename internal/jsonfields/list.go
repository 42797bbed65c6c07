package jsonfields

import "encoding/json"

// List is a list that tells an absent field, which leaves it nil, from one without entries. With
// the option omitzero it is written as it was read.
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
