package poison

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBrittleServicesAreRecorded(t *testing.T) {
	var many []BrittleService
	for n := range 2 * MaxHeldServices {
		many = append(many, BrittleService{fmt.Sprint("s", n), n})
	}
	for name, c := range map[string]struct {
		list    []BrittleService
		routers int
		want    Brittle
	}{
		"none":               {nil, 9, Brittle{}},
		"two":                {many[:2], 9, Brittle{many[:2], 9}},
		"more than fit":      {many, 9, Brittle{many[:MaxHeldServices], 9}},
		"a long name":        {[]BrittleService{{strings.Repeat("s", maxServiceName+1), 1}, {"s", 1}}, 9, Brittle{[]BrittleService{{"s", 1}}, 9}},
		"too many to bear":   {[]BrittleService{{"s", maxStated + 1}}, 9, Brittle{}},
		"too many routers":   {many[:1], 2 * maxStated, Brittle{many[:1], maxStated}},
		"no rejection borne": {[]BrittleService{{"s", 0}}, 1, Brittle{[]BrittleService{{"s", 0}}, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := ReadRecord(Record{Brittle: NewBrittle(c.list, c.routers)}.Value(), 3)
			require.NoError(t, err)
			assert.Equal(t, Record{Brittle: c.want, Revision: 3}, r)
		})
	}
}

// Guards against what stands in the store and no router has written.
func TestMalformedBrittleServices(t *testing.T) {
	service := `{"service":"s","rejections":1}`
	for name, value := range map[string]string{
		"no name":              `{"brittle":[{"rejections":1}]}`,
		"a long name":          `{"brittle":[{"service":"` + strings.Repeat("s", maxServiceName+1) + `","rejections":1}]}`,
		"fewer than none":      `{"brittle":[{"service":"s","rejections":-1}]}`,
		"too many to bear":     `{"brittle":[{"service":"s","rejections":1048577}]}`,
		"too many services":    `{"brittle":[` + strings.Repeat(service+",", MaxHeldServices) + service + `]}`,
		"fewer than no router": `{"brittle":[` + service + `],"routers":-1}`,
		"too many routers":     `{"brittle":[` + service + `],"routers":1048577}`,
		"a text":               `{"brittle":"s"}`,
	} {
		t.Run(name, func(t *testing.T) {
			r, err := ReadRecord([]byte(value), 3)
			assert.ErrorIs(t, err, ErrRecord)
			assert.Equal(t, Record{Revision: 3}, r)
		})
	}
}

// Guards against calls to the store without need, and against what all routers forget together.
func TestRecordOfBrittleServicesIsKept(t *testing.T) {
	for _, routers := range []int{1, 6, 985} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			checks := min(routers, Keepers) - 1
			s := newKeptStore(routers)
			state := func(b Brittle) {
				for i := range s.held {
					s.held[i].Brittle = b
				}
				s.run(20)
			}
			stated := NewBrittle([]BrittleService{{"s", 4}}, routers)
			state(stated)
			assert.Equal(t, stated, s.record.Brittle)
			s.run(600)
			s.assertCalls(t, 1+checks, 1)
			state(NewBrittle([]BrittleService{{"s", 4}}, routers+1))
			s.assertCalls(t, 1+checks, 1)
			state(NewBrittle([]BrittleService{{"s", 2}}, routers))
			assert.Equal(t, 2, s.record.Brittle.Services[0].Rejections)
			state(Brittle{})
			assert.Empty(t, s.record.Brittle.Services)
			s.assertCalls(t, 1+checks, 3)
		})
	}
}
