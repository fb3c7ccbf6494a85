#include "waxwingfront/fleet/linear_system.h"

#include <cstddef>

namespace waxwingfront::fleet {

std::vector<double> SolveSystem(std::vector<std::vector<double>> rows,
                                std::vector<double> right) {
  const std::size_t size = right.size();
  for (std::size_t pivot = 0; pivot < size; ++pivot) {
    for (std::size_t row = pivot + 1; row < size; ++row) {
      const double factor = rows[row][pivot] / rows[pivot][pivot];
      if (factor == 0.0) continue;
      for (std::size_t column = pivot; column < size; ++column) {
        rows[row][column] -= factor * rows[pivot][column];
      }
      right[row] -= factor * right[pivot];
    }
  }
  for (std::size_t row = size; row-- > 0;) {
    for (std::size_t column = row + 1; column < size; ++column) {
      right[row] -= rows[row][column] * right[column];
    }
    right[row] /= rows[row][row];
  }
  return right;
}

}  // namespace waxwingfront::fleet
