package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// A record is: magic, length of the payload, CRC32C of kind and payload (each
// 4 bytes, little endian), kind (1 byte), payload.
const (
	recordMagic    = 0x314c4742 // "BGL1"
	recordOverhead = 13
	// maxRecordBytes bounds a record; a snapshot is one record.
	maxRecordBytes = 1 << 30
)

type recordKind uint8

const (
	kindHeader recordKind = iota + 1
	kindBatch
	kindSnapshot
	kindIdentity
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(kind recordKind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(kind)}, castagnoli), castagnoli, payload)
}

func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, recordMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(kind, payload))
	buffer = append(buffer, byte(kind))
	return append(buffer, payload...)
}

// readRecord reads the record at the start of data and returns its whole size.
func readRecord(data []byte) (kind recordKind, payload []byte, size int, err error) {
	if len(data) < recordOverhead {
		return 0, nil, 0, &RecordError{Reason: "short"}
	}
	if binary.LittleEndian.Uint32(data) != recordMagic {
		return 0, nil, 0, &RecordError{Reason: "no magic number"}
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxRecordBytes || int(length) > len(data)-recordOverhead {
		return 0, nil, 0, &RecordError{Reason: "length beyond the end"}
	}
	kind, size = recordKind(data[12]), recordOverhead+int(length)
	payload = data[recordOverhead:size]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(kind, payload) {
		return 0, nil, 0, &RecordError{Reason: "wrong checksum"}
	}
	return kind, payload, size, nil
}

// Position names a place in the log.
type Position struct{ Index, Term uint64 }

// Batch is what one Save makes durable.
type Batch struct {
	HardState *raft.HardState
	// Reset tells that an installed snapshot replaced all entries before.
	Reset *Position
	// Entries follow the log; the first may overwrite an older tail.
	Entries []raft.Entry
}

// Flags of an encoded batch.
const (
	flagHardState = 1 << iota
	flagReset
)

func (b *Batch) encode() []byte {
	var flags byte
	var out []byte
	if b.HardState != nil {
		flags |= flagHardState
		out = appendNumbers(out, b.HardState.Term, uint64(b.HardState.Vote), b.HardState.Commit)
	}
	if b.Reset != nil {
		flags |= flagReset
		out = appendNumbers(out, b.Reset.Index, b.Reset.Term)
	}
	for i := range b.Entries {
		e := &b.Entries[i]
		out = appendNumbers(out, e.Index, e.Term)
		out = append(out, byte(e.Kind))
		out = binary.LittleEndian.AppendUint32(out, uint32(len(e.Data)))
		out = append(out, e.Data...)
	}
	return append(out, flags)
}

func appendNumbers(out []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return out
}

// parser reads fixed fields and remembers whether the data was too short.
type parser struct {
	data []byte
	bad  bool
}

func (p *parser) take(n int) []byte {
	if n < 0 || n > len(p.data) {
		p.bad, p.data = true, nil
		return make([]byte, min(max(n, 0), 8))
	}
	taken := p.data[:n:n]
	p.data = p.data[n:]
	return taken
}

func (p *parser) number() uint64 { return binary.LittleEndian.Uint64(p.take(8)) }

func (p *parser) bytes() []byte { return p.take(int(binary.LittleEndian.Uint32(p.take(4)))) }

func decodeBatch(payload []byte) (*Batch, error) {
	if len(payload) == 0 {
		return nil, &RecordError{Reason: "empty batch"}
	}
	flags := payload[len(payload)-1]
	p := &parser{data: payload[:len(payload)-1]}
	b := &Batch{}
	if flags&flagHardState != 0 {
		b.HardState = &raft.HardState{Term: p.number(), Vote: raft.ID(p.number()), Commit: p.number()}
	}
	if flags&flagReset != 0 {
		b.Reset = &Position{Index: p.number(), Term: p.number()}
	}
	for len(p.data) > 0 {
		e := raft.Entry{Index: p.number(), Term: p.number(), Kind: raft.EntryKind(p.take(1)[0])}
		e.Data = p.bytes()
		b.Entries = append(b.Entries, e)
	}
	if p.bad {
		return nil, &RecordError{Reason: "batch is cut off"}
	}
	return b, nil
}

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(s *raft.Snapshot) []byte {
	config := raft.EncodeConfiguration(s.Config)
	out := appendNumbers(nil, s.Index, s.Term)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(config)))
	out = append(out, config...)
	return appendRecord(nil, kindSnapshot, append(out, s.Data...))
}

// DecodeSnapshot reads the content of a snapshot file.
func DecodeSnapshot(data []byte) (raft.Snapshot, error) {
	kind, payload, size, err := readRecord(data)
	if err != nil {
		return raft.Snapshot{}, err
	}
	if kind != kindSnapshot || size != len(data) {
		return raft.Snapshot{}, &RecordError{Reason: "not a single snapshot record"}
	}
	p := &parser{data: payload}
	s := raft.Snapshot{Index: p.number(), Term: p.number()}
	config := p.bytes()
	if p.bad {
		return raft.Snapshot{}, &RecordError{Reason: "snapshot is cut off"}
	}
	if s.Config, err = raft.DecodeConfiguration(config); err != nil {
		return raft.Snapshot{}, &RecordError{Reason: err.Error()}
	}
	s.Data = p.data
	return s, nil
}

// Identity names the replica that a folder belongs to.
type Identity struct {
	// Replica is drawn at random when the folder is created.
	Replica raft.ID
	// Cluster is 0 until the replica bootstraps or joins one.
	Cluster uint64
}

func encodeIdentity(id Identity) []byte {
	return appendRecord(nil, kindIdentity, appendNumbers(nil, uint64(id.Replica), id.Cluster))
}

func decodeIdentity(data []byte) (Identity, error) {
	kind, payload, size, err := readRecord(data)
	if err != nil {
		return Identity{}, err
	}
	if kind != kindIdentity || size != len(data) || len(payload) != 16 {
		return Identity{}, &RecordError{Reason: "not a single identity record"}
	}
	p := &parser{data: payload}
	return Identity{Replica: raft.ID(p.number()), Cluster: p.number()}, nil
}
