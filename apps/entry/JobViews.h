#pragma once

#include <json/value.h>

#include "src/core/job/JobScheduler.h"

namespace foxtailbarrow::entry {

/// A job's entry in a job list.
Json::Value SummaryOf(const JobRecord& aRecord);

/// A job's record and latest decisions; null for an unknown job.
Json::Value ExplanationOf(const JobScheduler& aScheduler,
                          const JobId& aJob,
                          Instant aNow);

} // namespace foxtailbarrow::entry
