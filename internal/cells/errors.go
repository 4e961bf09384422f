package cells

import "errors"

// Errors of directory commands. A command that returns one of these errors has not changed the state.
var (
	ErrStale            = errors.New("command has an older term or index than the directory")
	ErrAlreadyApplied   = errors.New("command has already been applied")
	ErrNoChange         = errors.New("command changes nothing")
	ErrCellNotFound     = errors.New("cell does not exist or accepts no changes")
	ErrMemberNotFound   = errors.New("member does not exist")
	ErrAlreadyAssigned  = errors.New("member is already assigned to a cell")
	ErrChangeInProgress = errors.New("member or cell is being moved, split or merged")
	ErrRecentMember     = errors.New("member was in this cell, or in too many cells, within the longest deadline")
	ErrLastMember       = errors.New("member is the last one of its cell; merge the cell instead")
	ErrInvalidNames     = errors.New("member names are missing, repeated or unknown")
)
