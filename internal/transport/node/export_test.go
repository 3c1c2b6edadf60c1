package node

// MinDrainTime is the time that a stopping instance keeps serving.
const MinDrainTime = minDrainTime
