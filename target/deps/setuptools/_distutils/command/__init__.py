"""distutils.command

Package containing implementation of all the standard Distutils
commands."""

__all__ = [
    'bdist',
    'bdist_dumb',
    'bdist_rpm',
    'build',
    'build_clib',
    'build_ext',
    'build_py',
    'build_scripts',
    'check',
    'clean',
    'install',
    'install_data',
    'install_headers',
    'install_lib',
    'install_scripts',
    'sdist',
]
