#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/WorkerState.h"

/// Queues whose workers another service chooses: it is asked which workers may
/// run a step, and gives a ticket for each.
namespace foxtailbarrow::cell {

/// What the operator says of the service's answers for one queue.
struct AdvicePolicy
{
  Duration mDecisionTime{}; ///< An answer takes so long,
  Duration
    mTimePerWorker{}; ///< and so much longer for each worker asked about.
  Duration mTicketLifetime{}; ///< A ticket may be used for so long.

  bool operator==(const AdvicePolicy&) const = default;
};

struct AdviceQuery
{
  TaskRef mStep; ///< Its first task.
  std::vector<WorkerIncarnation> mWorkers;
  Duration mTimeout{};
};

struct AdviceGrant
{
  WorkerIncarnation mWorker;
  std::string mTicket;
};

struct AdviceReply
{
  std::vector<AdviceGrant> mGranted; ///< Others may not run the step.
  Duration mTicketLifetime{};
};

/// The service that chooses workers. Suspends the calling fiber.
class PlacementAdvisor
{
public:
  virtual ~PlacementAdvisor() = default;
  virtual absl::StatusOr<AdviceReply> Advise(const AdviceQuery& aQuery) = 0;
};

} // namespace foxtailbarrow::cell
