#include "src/telemetry/ProcessMetrics.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace foxtailbarrow {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double Seconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosecondsPerSecond;
}

double CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

/// 0 when the system does not tell.
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

void AddProcessMetrics(Metrics& aMetrics)
{
  aMetrics.SampledGauge("process_cpu_seconds",
                        "Processor time of this process, in seconds.",
                        CpuSeconds);
  aMetrics.SampledGauge("process_resident_bytes",
                        "Resident memory of this process, in bytes.",
                        ResidentBytes);
}

} // namespace foxtailbarrow
