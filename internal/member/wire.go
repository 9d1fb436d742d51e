package member

import (
	"google.golang.org/protobuf/proto"

	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

func toWire(rows []Member) []*relaypb.Member {
	messages := make([]*relaypb.Member, len(rows))
	for i := range rows {
		messages[i] = rowToWire(rows[i])
	}
	return messages
}

func fromWire(messages []*relaypb.Member) []Member {
	rows := make([]Member, 0, len(messages))
	for _, message := range messages {
		if message.GetName() != "" {
			rows = append(rows, rowFromWire(message))
		}
	}
	return rows
}

func rowToWire(row Member) *relaypb.Member {
	return &relaypb.Member{
		Name:          row.Name,
		Incarnation:   row.Incarnation,
		StartedMs:     row.StartedMS,
		Version:       row.Version,
		RelayAddress:  row.RelayAddress,
		CallerAddress: row.CallerAddress,
		AdminAddress:  row.AdminAddress,
		DataCentre:    row.DataCentre,
		Region:        row.Region,
		Service:       row.Service,
		State:         uint32(row.State),
		Revision:      row.Revision,
		TargetId:      row.TargetID,
		TargetSlots:   uint32(row.TargetSlots),

		TargetDepartedMs:     row.TargetDepartures.StartedMS,
		TargetDepartedById:   row.TargetDepartures.ByID.ID,
		TargetDepartedByIdMs: row.TargetDepartures.ByID.StartedMS,
	}
}

func rowFromWire(message *relaypb.Member) Member {
	return Member{
		Name:          message.GetName(),
		Incarnation:   message.GetIncarnation(),
		StartedMS:     message.GetStartedMs(),
		Version:       message.GetVersion(),
		RelayAddress:  message.GetRelayAddress(),
		CallerAddress: message.GetCallerAddress(),
		AdminAddress:  message.GetAdminAddress(),
		DataCentre:    message.GetDataCentre(),
		Region:        message.GetRegion(),
		Service:       message.GetService(),
		State:         State(min(message.GetState(), uint32(Gone))),
		Revision:      message.GetRevision(),
		TargetID:      message.GetTargetId(),
		TargetSlots:   int(message.GetTargetSlots()),

		TargetDepartures: beat.Departures{
			StartedMS: message.GetTargetDepartedMs(),
			ByID: beat.Process{
				ID:        message.GetTargetDepartedById(),
				StartedMS: message.GetTargetDepartedByIdMs(),
			},
		},
	}
}

// encodeRow encodes a row as the value of a lease row in the table.
func encodeRow(row Member) ([]byte, error) {
	return proto.Marshal(rowToWire(row))
}

func decodeRow(value []byte) (Member, error) {
	var message relaypb.Member
	if err := proto.Unmarshal(value, &message); err != nil {
		return Member{}, err
	}
	return rowFromWire(&message), nil
}
