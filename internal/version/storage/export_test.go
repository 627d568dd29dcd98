package storage

// ValidPrefixDecodesAlike decodes a log and reports whether decoding only its valid prefix gives the
// same result.
func ValidPrefixDecodesAlike(data []byte) bool {
	whole := decodeLog(data, 0, false)
	if whole.validBytes > len(data) || whole.damage != "" {
		return whole.validBytes <= len(data)
	}
	part := decodeLog(data[:whole.validBytes], 0, false)
	return part.damage == "" && part.validBytes == whole.validBytes && part.groups == whole.groups && len(part.entries) == len(whole.entries)
}

// EncodeRecords returns a log with one group for each payload, as seeds for the fuzzer.
func EncodeRecords(payloads ...[]byte) []byte {
	var data []byte
	for i, p := range payloads {
		data = appendGroup(data, 0, uint64(i+1), []record{{kind: recordEntry, payload: p}, {kind: recordState, payload: p}})
	}
	return data
}
