package gateway

// maxLoggedBytes limits a text of a caller in a log line or in a message to another node.
const maxLoggedBytes = 256

// loggable returns a text of a caller as it is logged: its start, if it is long.
func loggable(text []byte) string {
	if len(text) <= maxLoggedBytes {
		return string(text)
	}
	return string(text[:maxLoggedBytes]) + "..."
}
