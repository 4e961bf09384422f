package cells

import "errors"

// Errors of the directory's commands. With each of them the command has changed nothing.
var (
	ErrStale            = errors.New("an older term or index")
	ErrAlreadyApplied   = errors.New("this command was applied before")
	ErrNoChange         = errors.New("nothing to do")
	ErrCellNotFound     = errors.New("no such cell is open")
	ErrMemberNotFound   = errors.New("no such member")
	ErrAlreadyAssigned  = errors.New("this member is assigned to a cell")
	ErrChangeInProgress = errors.New("the member or cell is being moved, split or merged")
	ErrRecentMember     = errors.New("the member was in this cell, or in too many, within the longest deadline")
	ErrLastMember       = errors.New("the last member of its cell: merge the cell instead")
	ErrInvalidNames     = errors.New("members' names are missing, repeated or unknown")
)
