package storage

// ValidPrefixDecodesEqually decodes a log and reports whether decoding only its valid prefix gives the
// same result. For a damaged log it checks only that the valid prefix lies within the data.
func ValidPrefixDecodesEqually(data []byte) bool {
	whole := decodeLog(data, 0, false)
	if whole.validBytes > len(data) || whole.damage != "" {
		return whole.validBytes <= len(data)
	}
	part := decodeLog(data[:whole.validBytes], 0, false)
	return part.damage == "" && part.validBytes == whole.validBytes && part.writeGroups == whole.writeGroups && len(part.entries) == len(whole.entries)
}

// EncodeRecords returns a log with one write group for each payload, as seeds for the fuzzer. A write
// group holds the payload as an entry record and as a state record.
func EncodeRecords(payloads ...[]byte) []byte {
	var data []byte
	for i, p := range payloads {
		data = appendWriteGroup(data, 0, uint64(i+1), []record{{kind: recordEntry, payload: p}, {kind: recordState, payload: p}})
	}
	return data
}
