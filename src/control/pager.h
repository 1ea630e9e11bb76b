// Selects which of many rows stand on the requested page of an answer. A page is full by rows or by bytes, so
// that a page always fits into one answer, however long its rows are. Used by AdminQueries; no I/O.
#pragma once

#include <cstddef>

namespace myrtlecroft::control {

class Pager {
 public:
  static constexpr std::size_t kMaxRows = 1000;
  static constexpr std::size_t kMaxBytes = std::size_t{160} << 10;

  // Pages are counted from 1.
  explicit Pager(std::size_t page) : requested_(page) {}

  // To be called for each row in order; true where it stands on the requested page.
  bool add_row(std::size_t bytes) {
    bool full = rows_on_page_ == kMaxRows || (rows_on_page_ > 0 && bytes_on_page_ + bytes > kMaxBytes);
    if (full || pages_ == 0) {
      ++pages_;
      rows_on_page_ = 0;
      bytes_on_page_ = 0;
    }
    ++rows_;
    ++rows_on_page_;
    bytes_on_page_ += bytes;
    if (pages_ != requested_) return false;
    if (rows_on_requested_page_ == 0) first_row_ = rows_;
    ++rows_on_requested_page_;
    return true;
  }

  std::size_t rows() const { return rows_; }  // on all pages
  std::size_t pages() const { return pages_; }
  std::size_t rows_on_requested_page() const { return rows_on_requested_page_; }
  // The first row on the requested page, counted from 1; 0 where it has none.
  std::size_t first_row() const { return first_row_; }

 private:
  std::size_t requested_;
  std::size_t rows_ = 0;
  std::size_t pages_ = 0;
  std::size_t rows_on_page_ = 0;   // of the page that is being filled
  std::size_t bytes_on_page_ = 0;  // of the same
  std::size_t rows_on_requested_page_ = 0;
  std::size_t first_row_ = 0;
};

}  // namespace myrtlecroft::control
