package member

import (
	"bytes"
	"encoding/binary"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// MaxDatagram keeps a datagram within one packet on any path with an MTU of
	// 1,280 bytes.
	MaxDatagram = 1200

	protocolMagic   = 0xB1
	protocolVersion = 1
	deltaBytes      = 12
	// maxHeard bounds the bitmap: 640 daemons of one failure domain.
	maxHeard  = 80
	headerMax = 48 + maxHeard

	// Units of the scaled fields of a delta.
	ageUnit    = 64 * time.Millisecond
	promptUnit = 16
	kvUnit     = 64
)

// Sections of a datagram.
const (
	sectionIdentity = iota + 1
	sectionChanges
	sectionDeltas
	sectionPayload
	sectionSummary
	sectionNotice
)

const flagLeaving = 1

// datagram is a decoded membership message.
type datagram struct {
	Leaving     bool
	Instance    uint64
	Incarnation uint32
	Seq         uint32
	Generation  uint64
	// Version is that of the sender's hosted endpoints.
	Version uint64
	// SourceAge is the age of the last contact with the configuration source, in units of sourceAgeUnit.
	SourceAge uint16
	View      uint32
	Heard     []byte

	Identity  *Identity
	Changes   []*RecordSet
	Deltas    []Delta
	Payloads  []wirePayload
	Summaries []Summary
	Notices   []Notice
}

type wirePayload struct {
	Kind string
	Data []byte
}

// header encodes the fixed part.
func (d *datagram) header() []byte {
	b := make([]byte, 0, MaxDatagram)
	flags := byte(0)
	if d.Leaving {
		flags |= flagLeaving
	}
	b = append(b, protocolMagic, protocolVersion, flags)
	b = binary.LittleEndian.AppendUint64(b, d.Instance)
	b = binary.LittleEndian.AppendUint32(b, d.Incarnation)
	b = binary.LittleEndian.AppendUint32(b, d.Seq)
	b = binary.AppendUvarint(b, d.Generation)
	b = binary.AppendUvarint(b, d.Version)
	b = binary.LittleEndian.AppendUint16(b, d.SourceAge)
	b = binary.LittleEndian.AppendUint32(b, d.View)
	b = append(b, byte(len(d.Heard)))
	return append(b, d.Heard...)
}

func appendSection(b []byte, tag byte, body []byte) []byte {
	b = append(b, tag)
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

func appendDelta(b []byte, d *Delta) []byte {
	age := clamp(int(time.Duration(d.Load.AgeMS)*time.Millisecond/ageUnit), 1<<6-1)
	b = binary.LittleEndian.AppendUint16(b, d.Number)
	b = binary.LittleEndian.AppendUint16(b, d.Seq)
	b = binary.LittleEndian.AppendUint16(b, clamp(d.Load.Running, 1<<10-1)|age<<10)
	b = binary.LittleEndian.AppendUint16(b, clamp(d.Load.Waiting, math.MaxUint16))
	b = binary.LittleEndian.AppendUint16(b, clamp((d.Load.WaitingTokens+promptUnit-1)/promptUnit, math.MaxUint16))
	return binary.LittleEndian.AppendUint16(b, clamp(d.Load.KVTokens/kvUnit, math.MaxUint16))
}

func clamp(v, limit int) uint16 { return uint16(max(0, min(v, limit))) }

func readDelta(b []byte) Delta {
	le := binary.LittleEndian
	running := le.Uint16(b[4:])
	return Delta{
		Number: le.Uint16(b) & maxNumber,
		Seq:    le.Uint16(b[2:]),
		Load: endpoint.Load{
			Running:       int(running & (1<<10 - 1)),
			AgeMS:         (time.Duration(running>>10) * ageUnit).Milliseconds(),
			Waiting:       int(le.Uint16(b[6:])),
			WaitingTokens: int(le.Uint16(b[8:])) * promptUnit,
			KVTokens:      int(le.Uint16(b[10:])) * kvUnit,
		},
	}
}

// reader reads the fixed part; after an error it returns zeroes.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) take(n uint64) []byte {
	if r.bad || n > uint64(len(r.data)) {
		r.bad = true
		return nil
	}
	head := r.data[:n]
	r.data = r.data[n:]
	return head
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	if b := r.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

// decode reads a datagram. It accepts any input without panicking.
func decode(data []byte) (*datagram, error) {
	r := &reader{data: data}
	if magic, version := r.byte(), r.byte(); r.bad || magic != protocolMagic || version != protocolVersion {
		return nil, &VersionError{Got: version}
	}
	d := &datagram{Leaving: r.byte()&flagLeaving != 0}
	d.Instance = r.uint64()
	d.Incarnation = r.uint32()
	d.Seq = r.uint32()
	d.Generation = r.uvarint()
	d.Version = r.uvarint()
	d.SourceAge = r.uint16()
	d.View = r.uint32()
	d.Heard = append([]byte(nil), r.take(uint64(r.byte()))...)
	for !r.bad && len(r.data) > 0 {
		tag := r.byte()
		body := r.take(r.uvarint())
		if r.bad {
			break
		}
		if err := d.section(tag, body); err != nil {
			return nil, err
		}
	}
	if r.bad {
		return nil, &DecodeError{Part: "datagram", Err: &TruncatedError{}}
	}
	return d, nil
}

func (d *datagram) section(tag byte, body []byte) error {
	switch tag {
	case sectionIdentity:
		d.Identity = new(Identity)
		return unpack("identity", body, d.Identity)
	case sectionChanges:
		changes := new(RecordSet)
		if err := unpack("changes", body, changes); err != nil {
			return err
		}
		d.Changes = append(d.Changes, changes)
	case sectionDeltas:
		for ; len(body) >= deltaBytes; body = body[deltaBytes:] {
			d.Deltas = append(d.Deltas, readDelta(body))
		}
	case sectionPayload:
		var p wirePayload
		if err := unpack("payload", body, &p); err != nil {
			return err
		}
		d.Payloads = append(d.Payloads, p)
	case sectionSummary:
		var s Summary
		if err := unpack("summary", body, &s); err != nil {
			return err
		}
		d.Summaries = append(d.Summaries, s)
	case sectionNotice:
		r := reader{data: body}
		d.Notices = append(d.Notices, Notice{Instance: r.uint64(), Incarnation: r.uint32()})
	}
	// Sections of later versions are skipped.
	return nil
}

// pack encodes structs as arrays, which leaves the field names out.
func pack(v any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	// The types of this package always encode.
	_ = encoder.Encode(v)
	return buffer.Bytes()
}

func unpack(part string, data []byte, into any) error {
	if err := msgpack.Unmarshal(data, into); err != nil {
		return &DecodeError{Part: part, Err: err}
	}
	return nil
}

// builder fills datagrams up to MaxDatagram; each has the same header but its own Seq.
type builder struct {
	head datagram
	next func() uint32
	out  [][]byte
	cur  []byte
}

func (b *builder) begin() {
	b.head.Seq = b.next()
	b.cur = b.head.header()
}

// add appends a section, to a further datagram if the current one is full.
// A section longer than a datagram is left out; it is reported false.
func (b *builder) add(tag byte, body []byte) bool {
	if len(body)+headerMax > MaxDatagram {
		return false
	}
	if b.cur == nil {
		b.begin()
	}
	if len(b.cur)+len(body)+4 > MaxDatagram {
		b.out = append(b.out, b.cur)
		b.begin()
	}
	b.cur = appendSection(b.cur, tag, body)
	return true
}

func (b *builder) finish() [][]byte {
	if b.cur == nil {
		b.begin()
	}
	return append(b.out, b.cur)
}
