package gateway

// logPanic counts and logs a recovered panic that ended one request or connection.
// The process continues, because other requests depend on it.
func (n *Node) logPanic(value any, stack []byte, fields ...any) {
	n.stats.panics.Add(1)
	n.log.Error("panic", append(fields, "value", value, "stack", string(stack))...)
}
