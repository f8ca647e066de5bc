// Comparison of test output with golden files.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace savory {

// Compares `text` with golden/NAME.txt of the module; SAVORY_UPDATE_GOLDEN=1 rewrites the file.
inline void ExpectGoldenText(const std::string& name, const std::string& text) {
  const std::string path = std::string(SAVORY_GOLDEN_DIR) + "/" + name + ".txt";
  if (std::getenv("SAVORY_UPDATE_GOLDEN") != nullptr) std::ofstream(path) << text;
  std::ifstream file(path);
  std::ostringstream expected;
  expected << file.rdbuf();
  EXPECT_EQ(text, expected.str()) << "differs from " << path;
}

}  // namespace savory
