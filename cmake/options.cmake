set(IBISWALL_SANITIZE "" CACHE STRING "Sanitizers to build with, such as address,undefined")

# Sets the compiler options that all CMake targets of the project share.
function(ibiswall_options target)
  target_compile_features(${target} PUBLIC cxx_std_17)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Werror)
  # g++ 12 gives false positives for strings inside moved aggregates.
  target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized)
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  if(IBISWALL_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${IBISWALL_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(${target} PUBLIC -fsanitize=${IBISWALL_SANITIZE})
  endif()
endfunction()

# Adds the library ibiswall_NAME from src/ibiswall/NAME, and its unit tests.
# The remaining arguments are the libraries that it links to.
function(ibiswall_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/ibiswall/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(ibiswall_${name} STATIC ${sources})
  ibiswall_options(ibiswall_${name})
  target_link_libraries(ibiswall_${name} PUBLIC ${ARGN})
  if(tests AND BUILD_TESTING)
    add_executable(${name}_test ${tests} ${PROJECT_SOURCE_DIR}/tests/main.cpp)
    ibiswall_options(${name}_test)
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src/ibiswall/${name})
    target_link_libraries(${name}_test PRIVATE ibiswall_${name} Boost::unit_test_framework)
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK
      PROJECT_FOLDER="${PROJECT_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()
