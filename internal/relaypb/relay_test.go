package relaypb

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// Guards against a message between nodes that cannot be encoded or decoded because a string
// in it is not UTF-8. Nodes pass on what HTTP allows, and that is any byte from 0x80.
func TestStringsMayBeAnyBytes(t *testing.T) {
	is := is.New(t)
	messages := File_relay_proto.Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			if fields.Get(j).Kind() == protoreflect.StringKind {
				checkAnyBytes(is, messages.Get(i), fields.Get(j))
			}
		}
	}
}

// checkAnyBytes encodes and decodes a message whose field is not UTF-8.
func checkAnyBytes(is *is.I, message protoreflect.MessageDescriptor, field protoreflect.FieldDescriptor) {
	const latin1 = "Mah\xe9bourg"
	value := protoreflect.ValueOfString(latin1)
	sent := newMessage(is, message)
	if field.IsList() {
		sent.Mutable(field).List().Append(value)
	} else {
		sent.Set(field, value)
	}
	encoded, err := proto.Marshal(sent.Interface())
	is.NoErr(err)
	received := newMessage(is, message)
	is.NoErr(proto.Unmarshal(encoded, received.Interface()))
	is.True(proto.Equal(received.Interface(), sent.Interface()))
}

func newMessage(is *is.I, message protoreflect.MessageDescriptor) protoreflect.Message {
	found, err := protoregistry.GlobalTypes.FindMessageByName(message.FullName())
	is.NoErr(err)
	return found.New()
}
