package gateway

// caught tells of a panic that ended one request or connection; the process
// goes on, as others depend on it.
func (n *Node) logPanic(value any, stack []byte, fields ...any) {
	n.stats.panics.Add(1)
	n.log.Error("panic", append(fields, "value", value, "stack", string(stack))...)
}
