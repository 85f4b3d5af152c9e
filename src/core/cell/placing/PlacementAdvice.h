#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/workers/WorkerState.h"

/// Placement advice for queues whose workers an external service chooses: it is
/// queried for the workers that may run a step and issues a ticket for each.
namespace foxtailbarrow::cell {

/// The operator's expectations of the service's answers for one queue.
struct AdvicePolicy
{
  Duration mDecisionTime{};   ///< Time that an answer takes,
  Duration mTimePerWorker{};  ///< and additional time for each worker queried.
  Duration mTicketLifetime{}; ///< How long a ticket is valid.

  bool operator==(const AdvicePolicy&) const = default;
};

struct AdviceQuery
{
  TaskRef mStep; ///< The first task of the step.
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
  std::vector<AdviceGrant> mGranted; ///< Other workers may not run the step.
  Duration mTicketLifetime{};
};

/// Client of the service that chooses workers. Suspends the calling fiber.
class PlacementAdvisor
{
public:
  virtual ~PlacementAdvisor() = default;
  virtual absl::StatusOr<AdviceReply> Advise(const AdviceQuery& aQuery) = 0;
};

} // namespace foxtailbarrow::cell
