#include "Jobs/queue_directory.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace rhubarbhaven::jobs {

auto QueueDirectory::Adopt(QueueConfiguration configuration) -> bool {
  if (configuration.version <= configuration_.version) {
    return false;
  }
  configuration_ = std::move(configuration);
  return true;
}

auto QueueDirectory::Match(const std::string& host,
                           const std::string& path) const -> const Queue* {
  const Queue* best = nullptr;
  for (const auto& queue : configuration_.queues) {
    const bool matches =
        queue.host == host && absl::StartsWith(path, queue.path_prefix);
    if (matches && (best == nullptr ||
                    queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

auto QueueDirectory::FindByName(const std::string& name) const -> const Queue* {
  for (const auto& queue : configuration_.queues) {
    if (queue.name == name) {
      return &queue;
    }
  }
  return nullptr;
}

auto QueueDirectory::FindService(const std::string& name) const
    -> const WorkerService* {
  for (const auto& service : configuration_.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

auto QueueDirectory::MayUseService(const std::string& name) const -> bool {
  const auto& services = configuration_.services;
  const bool names_some = std::any_of(services.begin(), services.end(),
                                      [](const WorkerService& service) -> bool {
                                        return !service.name.empty();
                                      });
  return !names_some || FindService(name) != nullptr;
}

}  // namespace rhubarbhaven::jobs
