#include "overload/admission_window.h"

#include <algorithm>

namespace myrtlecroft::overload {

AdmissionWindow::AdmissionWindow(int cores)
    : min_size_(std::max(1, cores)), size_(kStartPerCore * min_size_) {}

void AdmissionWindow::record_timely_answer() {
  ++timely_answers_;
  if (timely_answers_ % kGrowthInterval == 0) ++size_;
  size_ = std::min(size_, kMaxPerCore * min_size_);
}

void AdmissionWindow::record_late_answer(int position, bool caused_by_dependency) {
  timely_answers_ = 0;
  if (caused_by_dependency) return;
  size_ = std::min(size_, std::max(min_size_, position - kMargin));
}

void AdmissionWindow::reset() { size_ = kStartPerCore * min_size_; }

}  // namespace myrtlecroft::overload
