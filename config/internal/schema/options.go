package schema

// WithDefault returns the field with a default, in the file's form.
func (f Field[T]) WithDefault(value string) Field[T] {
	f.Default = value
	return f
}

// AsRequired returns the field with a key that must be given.
func (f Field[T]) AsRequired() Field[T] {
	f.Required = true
	return f
}

// AsFixed returns the field with a key that defaults and exceptions can't change.
func (f Field[T]) AsFixed() Field[T] {
	f.Fixed = true
	return f
}

// WithUnit returns the field with another unit.
func (f Field[T]) WithUnit(unit string) Field[T] {
	f.Unit = unit
	return f
}

// Validated returns the field with an additional check of the value after it was set.
func (f Field[T]) Validated(check func(*T) error) Field[T] {
	set := f.Set
	f.Set = func(into *T, text string) error {
		if err := set(into, text); err != nil {
			return err
		}
		return check(into)
	}
	return f
}
