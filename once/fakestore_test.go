package once_test

import (
	"filbertmill.example/once"
)

// Read implements once.Delegate.
func (n *fakeNode) Read(op once.OpID) {
	home := n.home
	answer := func(t once.Tenure, v once.Revision, ok bool) {
		if n.home == home {
			home.HandleRead(n.w.now, op, t, v, ok)
		}
	}
	n.w.actions = append(n.w.actions, action{
		from: n.name, to: "store",
		deliver: func() {
			t, v := n.w.record, n.w.version
			n.w.actions = append(n.w.actions, action{
				from: "store", to: n.name,
				deliver: func() { answer(t, v, true) },
				lose:    func() { answer(once.Tenure{}, 0, false) },
			})
		},
		lose: func() { answer(once.Tenure{}, 0, false) },
	})
}

// Write implements once.Delegate.
func (n *fakeNode) Write(op once.OpID, t once.Tenure, after once.Revision) {
	home := n.home
	answer := func(v once.Revision, ok bool) {
		if n.home == home {
			home.HandleWrite(n.w.now, op, v, ok)
		}
	}
	n.w.actions = append(n.w.actions, action{
		from: n.name, to: "store",
		deliver: func() {
			ok := n.w.version == after
			if ok {
				n.w.version++
				n.w.record = t
			}
			v := n.w.version
			n.w.actions = append(n.w.actions, action{
				from: "store", to: n.name,
				deliver: func() { answer(v, ok) },
				lose:    func() { answer(0, false) },
			})
		},
		lose: func() { answer(0, false) },
	})
}
