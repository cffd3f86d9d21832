/// Estimates of heap memory, for limits on memory.
#pragma once
#include <cstddef>
#include <string>

namespace robinhoist {

/// Bookkeeping and rounding of the allocator for each block.
inline constexpr std::size_t heap_block_overhead = 16;

/// The heap memory of a string; zero for a short one, which is stored in place.
inline std::size_t heap_bytes(const std::string& text) {
  const std::size_t in_place = std::string().capacity();
  return text.capacity() > in_place ? text.capacity() + heap_block_overhead : 0;
}

}  // namespace robinhoist
