#include "src/telemetry/ProcessMetrics.h"

#include <chrono>
#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace foxtailbarrow {

namespace {

Duration ToDuration(const timeval& aTime)
{
  return std::chrono::seconds(aTime.tv_sec) +
         std::chrono::microseconds(aTime.tv_usec);
}

/// 0 when it cannot be read.
double ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  long sizePages = 0;
  long residentPages = 0;
  file >> sizePages >> residentPages;
  return static_cast<double>(residentPages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

Duration ProcessorTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

void AddProcessMetrics(Metrics& aMetrics)
{
  aMetrics.SampledGauge(
    "process_cpu_seconds", "Processor time of this process, in seconds.", [] {
      return std::chrono::duration<double>(ProcessorTime()).count();
    });
  aMetrics.SampledGauge("process_resident_bytes",
                        "Resident memory of this process, in bytes.",
                        ResidentBytes);
}

} // namespace foxtailbarrow
