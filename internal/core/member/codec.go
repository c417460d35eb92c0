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
	// maxBitmapBytes bounds the heard bitmap, which covers 640 daemons of one failure domain.
	maxBitmapBytes = 80
	maxHeaderBytes = 48 + maxBitmapBytes

	// Units of the scaled fields of a delta.
	ageUnit           = 64 * time.Millisecond
	waitingTokensUnit = 16
	kvTokensUnit      = 64
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
	// Version is the version of the sender's hosted endpoints.
	Version uint64
	// SourceAge is the age of the last contact with the configuration source, in units of sourceAgeUnit.
	SourceAge uint16
	// OrderHash is the hash of the order of the daemons in HeardBitmap.
	OrderHash uint32
	// HeardBitmap has a bit for each daemon that the sender knows. The bit is set if
	// the sender receives datagrams from that daemon.
	HeardBitmap []byte

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

// encodeHeader encodes the fixed part of the datagram.
func (d *datagram) encodeHeader() []byte {
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
	b = binary.LittleEndian.AppendUint32(b, d.OrderHash)
	b = append(b, byte(len(d.HeardBitmap)))
	return append(b, d.HeardBitmap...)
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
	b = binary.LittleEndian.AppendUint16(b, clamp((d.Load.WaitingTokens+waitingTokensUnit-1)/waitingTokensUnit, math.MaxUint16))
	return binary.LittleEndian.AppendUint16(b, clamp(d.Load.KVTokens/kvTokensUnit, math.MaxUint16))
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
			WaitingTokens: int(le.Uint16(b[8:])) * waitingTokensUnit,
			KVTokens:      int(le.Uint16(b[10:])) * kvTokensUnit,
		},
	}
}

// reader reads the fixed part of a datagram. After an error it returns zero values.
type reader struct {
	data    []byte
	invalid bool
}

func (r *reader) take(n uint64) []byte {
	if r.invalid || n > uint64(len(r.data)) {
		r.invalid = true
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
		r.invalid = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

// decode reads a datagram. It accepts any input without panicking.
func decode(data []byte) (*datagram, error) {
	r := &reader{data: data}
	if magic, version := r.byte(), r.byte(); r.invalid || magic != protocolMagic || version != protocolVersion {
		return nil, &VersionError{Got: version}
	}
	d := &datagram{Leaving: r.byte()&flagLeaving != 0}
	d.Instance = r.uint64()
	d.Incarnation = r.uint32()
	d.Seq = r.uint32()
	d.Generation = r.uvarint()
	d.Version = r.uvarint()
	d.SourceAge = r.uint16()
	d.OrderHash = r.uint32()
	d.HeardBitmap = append([]byte(nil), r.take(uint64(r.byte()))...)
	for !r.invalid && len(r.data) > 0 {
		tag := r.byte()
		body := r.take(r.uvarint())
		if r.invalid {
			break
		}
		if err := d.decodeSection(tag, body); err != nil {
			return nil, err
		}
	}
	if r.invalid {
		return nil, &DecodeError{Part: "datagram", Err: &TruncatedError{}}
	}
	return d, nil
}

func (d *datagram) decodeSection(tag byte, body []byte) error {
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
	// Unknown sections are skipped, because later versions may add some.
	return nil
}

// pack encodes structs as arrays, so that field names take no space in the message.
func pack(v any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	// Encoding cannot fail for the types of this package.
	_ = encoder.Encode(v)
	return buffer.Bytes()
}

func unpack(part string, data []byte, into any) error {
	if err := msgpack.Unmarshal(data, into); err != nil {
		return &DecodeError{Part: part, Err: err}
	}
	return nil
}

// builder splits sections into datagrams of at most MaxDatagram bytes. All
// datagrams have the same header, except that each has its own Seq.
type builder struct {
	header  datagram
	newSeq  func() uint32
	full    [][]byte
	current []byte
}

func (b *builder) startDatagram() {
	b.header.Seq = b.newSeq()
	b.current = b.header.encodeHeader()
}

// add appends a section and starts another datagram if the current one is
// full. It omits a section that is longer than a datagram and returns false.
func (b *builder) add(tag byte, body []byte) bool {
	if len(body)+maxHeaderBytes > MaxDatagram {
		return false
	}
	if b.current == nil {
		b.startDatagram()
	}
	if len(b.current)+len(body)+4 > MaxDatagram {
		b.full = append(b.full, b.current)
		b.startDatagram()
	}
	b.current = appendSection(b.current, tag, body)
	return true
}

func (b *builder) finish() [][]byte {
	if b.current == nil {
		b.startDatagram()
	}
	return append(b.full, b.current)
}
