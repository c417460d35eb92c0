package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// A record consists of a magic number, the length of the payload and the CRC32C of
// kind and payload (each 4 bytes, little endian), the kind (1 byte) and the payload.
const (
	recordMagic    = 0x314c4742 // "BGL1"
	recordOverhead = 13
	// maxRecordBytes limits the payload of a record. A snapshot is a single record.
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

// readRecord reads the record at the start of data. The returned size includes the
// fields before the payload.
func readRecord(data []byte) (kind recordKind, payload []byte, size int, err error) {
	if len(data) < recordOverhead {
		return 0, nil, 0, &RecordError{Reason: "data is shorter than the fields before a payload"}
	}
	if binary.LittleEndian.Uint32(data) != recordMagic {
		return 0, nil, 0, &RecordError{Reason: "no magic number"}
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxRecordBytes || int(length) > len(data)-recordOverhead {
		return 0, nil, 0, &RecordError{Reason: "length exceeds the remaining data"}
	}
	kind, size = recordKind(data[12]), recordOverhead+int(length)
	payload = data[recordOverhead:size]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(kind, payload) {
		return 0, nil, 0, &RecordError{Reason: "wrong checksum"}
	}
	return kind, payload, size, nil
}

// Position identifies an entry of the log.
type Position struct{ Index, Term uint64 }

// Batch is the data that one call of Save makes durable.
type Batch struct {
	HardState *raft.HardState
	// Reset is set if an installed snapshot replaced all earlier entries.
	Reset *Position
	// Entries are appended to the log. They replace the older entries from the index
	// of the first one.
	Entries []raft.Entry
}

// Flags of an encoded batch. They say which optional fields it contains.
const (
	flagHardState = 1 << iota
	flagReset
)

func (b *Batch) encode() []byte {
	var flags byte
	var out []byte
	if b.HardState != nil {
		flags |= flagHardState
		out = appendUint64s(out, b.HardState.Term, uint64(b.HardState.Vote), b.HardState.Commit)
	}
	if b.Reset != nil {
		flags |= flagReset
		out = appendUint64s(out, b.Reset.Index, b.Reset.Term)
	}
	for i := range b.Entries {
		e := &b.Entries[i]
		out = appendUint64s(out, e.Index, e.Term)
		out = append(out, byte(e.Kind))
		out = binary.LittleEndian.AppendUint32(out, uint32(len(e.Data)))
		out = append(out, e.Data...)
	}
	return append(out, flags)
}

func appendUint64s(out []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return out
}

// payloadReader reads the fields of a payload and records whether the payload was
// too short.
type payloadReader struct {
	data      []byte
	truncated bool
}

func (p *payloadReader) nextBytes(n int) []byte {
	if n < 0 || n > len(p.data) {
		p.truncated, p.data = true, nil
		return make([]byte, min(max(n, 0), 8))
	}
	field := p.data[:n:n]
	p.data = p.data[n:]
	return field
}

func (p *payloadReader) nextUint64() uint64 { return binary.LittleEndian.Uint64(p.nextBytes(8)) }

func (p *payloadReader) nextLengthPrefixed() []byte {
	return p.nextBytes(int(binary.LittleEndian.Uint32(p.nextBytes(4))))
}

func decodeBatch(payload []byte) (*Batch, error) {
	if len(payload) == 0 {
		return nil, &RecordError{Reason: "empty batch"}
	}
	flags := payload[len(payload)-1]
	p := &payloadReader{data: payload[:len(payload)-1]}
	b := &Batch{}
	if flags&flagHardState != 0 {
		b.HardState = &raft.HardState{Term: p.nextUint64(), Vote: raft.ID(p.nextUint64()), Commit: p.nextUint64()}
	}
	if flags&flagReset != 0 {
		b.Reset = &Position{Index: p.nextUint64(), Term: p.nextUint64()}
	}
	for len(p.data) > 0 {
		e := raft.Entry{Index: p.nextUint64(), Term: p.nextUint64(), Kind: raft.EntryKind(p.nextBytes(1)[0])}
		e.Data = p.nextLengthPrefixed()
		b.Entries = append(b.Entries, e)
	}
	if p.truncated {
		return nil, &RecordError{Reason: "batch is truncated"}
	}
	return b, nil
}

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(s *raft.Snapshot) []byte {
	config := raft.EncodeConfiguration(s.Config)
	out := appendUint64s(nil, s.Index, s.Term)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(config)))
	out = append(out, config...)
	return appendRecord(nil, kindSnapshot, append(out, s.Data...))
}

// DecodeSnapshot decodes the content of a snapshot file.
func DecodeSnapshot(data []byte) (raft.Snapshot, error) {
	kind, payload, size, err := readRecord(data)
	if err != nil {
		return raft.Snapshot{}, err
	}
	if kind != kindSnapshot || size != len(data) {
		return raft.Snapshot{}, &RecordError{Reason: "not a single snapshot record"}
	}
	p := &payloadReader{data: payload}
	s := raft.Snapshot{Index: p.nextUint64(), Term: p.nextUint64()}
	config := p.nextLengthPrefixed()
	if p.truncated {
		return raft.Snapshot{}, &RecordError{Reason: "snapshot is truncated"}
	}
	if s.Config, err = raft.DecodeConfiguration(config); err != nil {
		return raft.Snapshot{}, &RecordError{Reason: err.Error()}
	}
	s.Data = p.data
	return s, nil
}

// Identity identifies the replica that a folder belongs to, and its cluster.
type Identity struct {
	// Replica is chosen at random when the folder is created.
	Replica raft.ID
	// Cluster is 0 until the replica bootstraps or joins a cluster.
	Cluster uint64
}

func encodeIdentity(id Identity) []byte {
	return appendRecord(nil, kindIdentity, appendUint64s(nil, uint64(id.Replica), id.Cluster))
}

func decodeIdentity(data []byte) (Identity, error) {
	kind, payload, size, err := readRecord(data)
	if err != nil {
		return Identity{}, err
	}
	if kind != kindIdentity || size != len(data) || len(payload) != 16 {
		return Identity{}, &RecordError{Reason: "not a single identity record"}
	}
	p := &payloadReader{data: payload}
	return Identity{Replica: raft.ID(p.nextUint64()), Cluster: p.nextUint64()}, nil
}
