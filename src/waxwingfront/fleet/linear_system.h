// Solver for systems of linear equations.
#ifndef WAXWINGFRONT_FLEET_LINEAR_SYSTEM_H_
#define WAXWINGFRONT_FLEET_LINEAR_SYSTEM_H_

#include <vector>

namespace waxwingfront::fleet {

// Solves a small symmetric positive definite system by elimination.
std::vector<double> SolveSystem(std::vector<std::vector<double>> rows,
                                std::vector<double> right);

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LINEAR_SYSTEM_H_
