// What a job costs in a leader's memory, known from its record.
#ifndef WAXWINGFRONT_FLEET_JOB_COST_H_
#define WAXWINGFRONT_FLEET_JOB_COST_H_

#include <cstddef>

#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Maximum number of tasks of one occurrence of a job, over all steps. Its
// progress then fits into a value of the store, 128 bytes a task.
inline constexpr std::size_t kMaxTasksPerOccurrence = 8192;

// Returns the number of tasks of one occurrence.
std::size_t TasksOf(const schema::fleet_job& job);

// Returns the bytes for which a job is charged as long as it is known, its
// record as read on loading included.
std::size_t RecordCost(const schema::fleet_job& job);

// Returns the bytes for the state of one occurrence with `tasks` tasks.
std::size_t OccurrenceCost(const schema::fleet_job& job, std::size_t tasks);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_COST_H_
