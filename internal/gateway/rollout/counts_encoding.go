package rollout

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

var (
	_ msgpack.CustomEncoder = Counts{}
	_ msgpack.CustomDecoder = (*Counts)(nil)
)

// CountsError reports counts that cannot be decoded.
type CountsError struct{ Numbers int }

// Error implements error.
func (e *CountsError) Error() string {
	return fmt.Sprintf("counts of a roll-out have %d numbers", e.Numbers)
}

// headNumbers is the number of encoded numbers before the times: answers, failures and the
// first time range.
const headNumbers = 3

// EncodeMsgpack implements msgpack.CustomEncoder. Entries send counts with each poll, so the
// numbers are short, and only the ranges between the first and the last count are encoded.
func (c Counts) EncodeMsgpack(encoder *msgpack.Encoder) error {
	first, end := 0, TimeBuckets
	for first < end && c.Times[first] == 0 {
		first++
	}
	for end > first && c.Times[end-1] == 0 {
		end--
	}
	if err := encoder.EncodeArrayLen(headNumbers + end - first); err != nil {
		return err
	}
	for _, n := range append([]int64{c.Answers, c.Failures, int64(first)}, c.Times[first:end]...) {
		if err := encoder.EncodeInt(n); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. The error is a *CountsError or one of the
// decoder.
func (c *Counts) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count < headNumbers || count > headNumbers+TimeBuckets {
		return &CountsError{count}
	}
	var numbers [headNumbers + TimeBuckets]int64
	for i := range count {
		if numbers[i], err = decoder.DecodeInt64(); err != nil {
			return err
		}
	}
	first, times := numbers[2], numbers[headNumbers:count]
	if first < 0 || first+int64(len(times)) > TimeBuckets {
		return &CountsError{count}
	}
	*c = Counts{Answers: numbers[0], Failures: numbers[1]}
	copy(c.Times[first:], times)
	return nil
}
