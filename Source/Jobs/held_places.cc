#include "Jobs/held_places.h"

namespace rhubarbhaven::jobs {
namespace {

auto IsSameTask(const TaskPlace& left, const TaskPlace& right) -> bool {
  return left.work == right.work && left.occurrence == right.occurrence &&
         left.step == right.step && left.index == right.index;
}

}  // namespace

auto HeldPlaces::Hold(TimePoint until,
                      const TaskPlace& place,
                      WorkerView& worker) -> void {
  Release(place);
  worker.HoldPlace(place.spec(), next_number_);
  places_.push_back({next_number_++, until, place, &worker});
}

auto HeldPlaces::Release(const TaskPlace& place) -> void {
  ReleaseIf([&place](const HeldPlace& held) -> bool {
    return IsSameTask(held.task, place);
  });
}

auto HeldPlaces::ReleaseJob(const JobWork& work) -> void {
  ReleaseIf([&work](const HeldPlace& held) -> bool {
    return held.task.work == &work;
  });
}

auto HeldPlaces::ReleaseWorker(const WorkerView& worker) -> void {
  ReleaseIf([&worker](const HeldPlace& held) -> bool {
    return held.worker == &worker;
  });
}

auto HeldPlaces::Expire(TimePoint now) -> void {
  ReleaseIf([now](const HeldPlace& held) -> bool {
    return held.until <= now || !held.worker->Accepts(now);
  });
}

auto HeldPlaces::ReleaseIf(
    const std::function<auto(const HeldPlace&)->bool>& applies) -> void {
  std::erase_if(places_, [this, &applies](const HeldPlace& held) -> bool {
    if (!applies(held)) {
      return false;
    }
    held.worker->ReleasePlace(held.number);
    on_release_(*held.worker);
    return true;
  });
}

}  // namespace rhubarbhaven::jobs
